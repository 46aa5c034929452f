package dev.bergamotwind.serving.store

/** Milliseconds for which a watch waits for changes; a connection that went silent is noticed after this time. */
internal const val WATCH_WAIT_MILLIS = 2_500L

/** Milliseconds before a failed call to the store is repeated the first time. */
internal const val FIRST_BACKOFF_MILLIS = 100L

/** The pause doubles so often: 800 milliseconds at most, so that the store's return is noticed within a second. */
internal const val BACKOFF_DOUBLINGS = 3

/** Renewals within the time of a lease; two may be lost. */
internal const val RENEWALS_PER_LEASE = 3

/** Milliseconds before its end at which a lease is no longer relied on: an order's way to its target. */
internal const val LEASE_MARGIN_MILLIS = 700L
