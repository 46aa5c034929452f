package dev.bergamotwind.serving.store

import kotlin.random.Random

/**
 * Exponential backoff with an upper bound between retries of calls to the store, randomized so that VMs do not call at
 * the same time.
 */
internal object Backoff {
    /** Returns the milliseconds to wait after the given number of consecutive [failures]. */
    fun delayMillis(failures: Int, random: Random): Long {
        val pause = (INITIAL_BACKOFF_MILLIS shl (failures - 1).coerceIn(0, MAX_BACKOFF_DOUBLINGS))
        return pause / 2 + random.nextLong(pause / 2 + 1)
    }
}
