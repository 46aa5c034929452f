package dev.bergamotwind.serving.store

/** A granted lease and its time to live after each renewal. */
public data class StoreLease(val id: Long, val timeToLiveMillis: Long)
