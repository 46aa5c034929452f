package dev.bergamotwind.serving.crash

/**
 * Milliseconds after the first event of a response from which a crash of its engine is not put down to the request;
 * several batch steps of a slow engine.
 */
internal const val SOUND_STREAM_MILLIS = 500L

/**
 * Longest time in milliseconds from broken connections to the confirmation that the engine has ended: entries of
 * silent targets lapse after three heartbeats of a few seconds.
 */
internal const val CRASH_CONFIRMATION_MILLIS = 10_000L
