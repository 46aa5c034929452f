package dev.bergamotwind.serving.rate

/** Rate that is admitted beyond the configured one, so that rounding and lag refuse nothing inside the rate. */
internal const val RATE_MARGIN = 1.02

/** Burst that is admitted beyond the configured one, for the same reason; the platform tolerates a tenth. */
internal const val BURST_MARGIN = 1.1

/** Part of the tolerated excess that is admitted on purpose; the rest covers the lag between VMs. */
internal const val TOLERANCE_SHARE_USED = 0.3

/** Milliseconds after the first look at a rate in which the level of another VM is taken over. */
internal const val ADOPTION_MILLIS = 2_000L

/** Bursts that a team may be behind after an excess by lag. */
internal const val DEBT_LIMIT = 2.0

/** Part of a burst after which the other VMs are told at once. */
internal const val TELL_AT_ONCE_SHARE = 0.03

/** Bounds in milliseconds of the time after which a refused caller is asked back. */
internal const val LEAST_RETRY_MILLIS = 50L
internal const val MOST_RETRY_MILLIS = 10_000L

/** Part of the allowed retries that is used; requests are counted at other moments than the platform counts them. */
internal const val RETRY_MARGIN = 0.8

/** Requests whose share of retries may be saved. */
internal const val SAVED_REQUESTS = 50
