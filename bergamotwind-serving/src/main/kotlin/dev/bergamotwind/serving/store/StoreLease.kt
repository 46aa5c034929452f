package dev.bergamotwind.serving.store

/** A granted lease and the milliseconds for which it lasts after each renewal. */
public data class StoreLease(val id: Long, val timeToLiveMillis: Long)
