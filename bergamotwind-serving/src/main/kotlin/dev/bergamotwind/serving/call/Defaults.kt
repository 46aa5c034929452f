package dev.bergamotwind.serving.call

/** Largest event of a stream that is buffered. */
internal const val STREAM_EVENT_LIMIT_BYTES = 1_048_576

/** Largest plain response that is buffered until it is complete. */
internal const val PLAIN_RESPONSE_LIMIT_BYTES = 4_194_304

/** Retry-After in milliseconds while no configuration is known. */
internal const val NO_CONFIGURATION_RETRY_MILLIS = 500L

/** Retry-After in milliseconds when another target may become available at any moment. */
internal const val SHORT_RETRY_AFTER_MILLIS = 150L

/** Retry-After of an overload refusal as a share of the predicted latency. */
internal const val RETRY_AFTER_SHARE = 0.5

/** Share of the remaining time that the predicted latency may take; the rest is needed for the response. */
internal const val LATENCY_BUDGET_SHARE = 0.8

/** Limit on the predicted latency, as a multiple of the route's target latency; a burst may be slightly late. */
internal const val QUEUE_LIMIT_TARGET_LATENCIES = 2.0

/** Minimum time in milliseconds that a fast response takes. */
internal const val MIN_SERVICE_MILLIS = 60L

/** Assumed milliseconds until a model is loaded, before the placement holder has announced the load. */
internal const val DEFAULT_MODEL_LOAD_MILLIS = 2_500L

/** Longest wait in milliseconds for an adapter at one target; the order and the load take a tenth of it. */
internal const val ADAPTER_WAIT_LIMIT_MILLIS = 700L

/** Timeout in milliseconds for opening a connection; covers several round trips between regions. */
internal const val CONNECT_TIMEOUT_MILLIS = 400L

/** Longest idle time in milliseconds of a pooled connection that is reused for requests that may run again. */
internal const val REUSE_IDLE_MILLIS = 8_000L

/**
 * Longest idle time in milliseconds of a pooled connection that is reused for requests that run at most once. A stale
 * connection would lose such a request.
 */
internal const val AT_MOST_ONCE_REUSE_IDLE_MILLIS = 4_000L

/** An attempt is stalled once its predicted latency times this factor, plus the margin in milliseconds, has passed. */
internal const val STALL_FACTOR = 2.5
internal const val STALL_MARGIN_MILLIS = 250L

/** Share of the target latency before which an attempt is never considered stalled. */
internal const val STALL_TARGET_LATENCY_SHARE = 0.75

/** Timeout in milliseconds for the body of a response whose head states "not run"; the body adds no information. */
internal const val NOT_RUN_BODY_TIMEOUT_MILLIS = 200L

/** A stream is stalled once this many times the longest on-time gap between events has passed. */
internal const val EVENT_GAP_FACTOR = 4

/** Lower bound in milliseconds of the event gap that is used to detect stalled streams. */
internal const val MIN_EVENT_GAP_MILLIS = 250L

/** Largest number of sends of one call, refused ones included. */
internal const val MAX_SENDS = 4

/** Target latency in milliseconds above which the requests of a route give way to others. */
internal const val PATIENT_TARGET_LATENCY_MILLIS = 3_000L

/** Ranks by which patient requests are lowered. */
internal const val PATIENT_RANK_OFFSET = 3

/** Retry-After in milliseconds for callers that a stopping VM refuses; the retry reaches another VM. */
internal const val SHUTDOWN_RETRY_AFTER_MILLIS = 50L
