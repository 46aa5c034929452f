package dev.bergamotwind.serving.call

/** Largest event of a stream that is kept in memory. */
internal const val STREAM_EVENT_LIMIT_BYTES = 1_048_576

/** Largest plain answer that is held until it is whole. */
internal const val PLAIN_ANSWER_LIMIT_BYTES = 4_194_304

/** Milliseconds after which a caller is asked back while no configuration is known. */
internal const val NO_CONFIGURATION_RETRY_MILLIS = 500L

/** Milliseconds after which a caller is asked back when another target may be free at once. */
internal const val SHORT_RETRY_MILLIS = 150L

/** Part of the predicted wait after which a refused caller is asked back. */
internal const val RETRY_AFTER_SHARE = 0.5

/** Part of the remaining time that the prediction may take; the rest is needed for the answer. */
internal const val PATIENCE_SHARE = 0.8

/** Queueing at a target is accepted up to this many target latencies; a burst may be served a little late. */
internal const val QUEUE_TARGET_SHARE = 2.0

/** Milliseconds that even a quick answer needs. */
internal const val LEAST_SERVICE_MILLIS = 60L

/** Milliseconds until a model is expected that no target holds, before the holder of orders has said so. */
internal const val EXPECTED_LOAD_MILLIS = 2_500L

/** Longest wait for an adapter at one target; the order and the load take a tenth of it. */
internal const val ADAPTER_WAIT_MILLIS = 700L

/** Milliseconds that a new connection may take; several round trips between regions. */
internal const val CONNECT_TIMEOUT_MILLIS = 400L

/** Longest idle time of a kept connection for requests that may run again. */
internal const val REUSE_IDLE_MILLIS = 8_000L

/** Longest idle time of a kept connection for requests that run at most once; a stale connection would lose them. */
internal const val REUSE_IDLE_ONCE_MILLIS = 4_000L

/** An attempt is silent after this many times its prediction and the margin in milliseconds. */
internal const val SILENCE_FACTOR = 2.5
internal const val SILENCE_MARGIN_MILLIS = 250L

/** Part of the target latency that an attempt may take in any case. */
internal const val SILENCE_TARGET_SHARE = 0.75

/** Milliseconds for the body of an answer whose head says that the request was not run; it tells nothing more. */
internal const val REFUSAL_BODY_MILLIS = 200L

/** A stream is silent after this many of its longest pauses. */
internal const val PAUSE_FACTOR = 4

/** Least pause limit in milliseconds that is reckoned with. */
internal const val LEAST_PAUSE_MILLIS = 250L

/** Sends of one call, refused ones included. */
internal const val SEND_LIMIT = 4

/** Target latency in milliseconds above which requests let others pass. */
internal const val PATIENT_TARGET_MILLIS = 3_000L

/** Ranks by which patient requests come later. */
internal const val PATIENT_RANKS = 3

/** Milliseconds after which a caller that a stopping VM has refused is asked back; it reaches another VM. */
internal const val STOPPING_RETRY_MILLIS = 50L
