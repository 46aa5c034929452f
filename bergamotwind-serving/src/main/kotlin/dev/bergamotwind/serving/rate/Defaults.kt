package dev.bergamotwind.serving.rate

/** Factor on the configured rate, so that rounding and lag cause no refusals inside the rate. */
internal const val RATE_MARGIN = 1.02

/** Factor on the configured burst, for the same reason; the platform tolerates a tenth. */
internal const val BURST_MARGIN = 1.1

/** Share of the tolerated excess that is admitted on purpose; the rest covers the lag between VMs. */
internal const val TOLERANCE_SHARE_USED = 0.3

/** Milliseconds after the first refill of a bucket in which the level of another VM is adopted. */
internal const val ADOPTION_MILLIS = 2_000L

/** Largest debt after an excess caused by lag, in bursts. */
internal const val MAX_DEBT_BURSTS = 2.0

/** Share of a burst after which the other VMs are informed at once. */
internal const val REPORT_AT_ONCE_SHARE = 0.03

/** Bounds of Retry-After in milliseconds. */
internal const val MIN_RETRY_AFTER_MILLIS = 50L
internal const val MAX_RETRY_AFTER_MILLIS = 10_000L

/** Share of the permitted retries that is used, because the platform counts requests at other times than this VM. */
internal const val RETRY_MARGIN = 0.8

/** Number of requests whose share of retries may be saved up. */
internal const val SAVED_REQUESTS = 50
