package dev.bergamotwind.serving.store

import kotlin.random.Random

/** Pauses between repeated calls to the store: doubling, bounded, and spread so that VMs do not call together. */
internal object Backoff {
    /** Milliseconds to wait after the given number of [failures] in series. */
    fun millis(failures: Int, random: Random): Long {
        val pause = (FIRST_BACKOFF_MILLIS shl (failures - 1).coerceIn(0, BACKOFF_DOUBLINGS))
        return pause / 2 + random.nextLong(pause / 2 + 1)
    }
}
