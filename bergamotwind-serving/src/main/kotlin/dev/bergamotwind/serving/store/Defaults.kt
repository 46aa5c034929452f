package dev.bergamotwind.serving.store

/**
 * Milliseconds for which a watch waits for changes; a connection that no longer responds is detected after this time.
 */
internal const val WATCH_TIMEOUT_MILLIS = 2_500L

/** Milliseconds before the first retry of a failed call to the store. */
internal const val INITIAL_BACKOFF_MILLIS = 100L

/**
 * Maximum number of doublings of the backoff: 800 milliseconds at most, so that the store's recovery is detected within
 * a second.
 */
internal const val MAX_BACKOFF_DOUBLINGS = 3

/** Renewals within a lease's time to live; two may be lost. */
internal const val RENEWALS_PER_LEASE = 3

/**
 * Milliseconds before its expiry at which a lease is no longer relied on: the time an order takes to reach its target.
 */
internal const val LEASE_MARGIN_MILLIS = 700L
