package dev.bergamotwind.serving.targets

/** Weight of one outcome in the failure share of a target, so that about ten outcomes determine it. */
internal const val OUTCOME_WEIGHT = 0.2

/** Half-life in milliseconds of the failure share of a target; grey failures last some seconds. */
internal const val FAILURE_HALF_LIFE_MILLIS = 4_000.0

/** First suspension in milliseconds of an unreachable target. */
internal const val FIRST_SUSPENSION_MILLIS = 500L

/** Largest number of times that the first suspension is doubled: up to four seconds, about three heartbeats. */
internal const val MAX_SUSPENSION_DOUBLINGS = 3

/** Suspension in milliseconds of a target at whose address another target answers. */
internal const val REPLACED_SUSPENSION_MILLIS = 10_000L

/** Cost in milliseconds of a target that always fails: a failed attempt and the wait for the next one. */
internal const val FAILURE_PENALTY_MILLIS = 3_000.0

/** Prefill milliseconds for each prompt token before any observation, for a large model. */
internal const val DEFAULT_MILLIS_PER_TOKEN = 0.055

/** Bounds of the learned prefill milliseconds for each prompt token. */
internal const val MIN_MILLIS_PER_TOKEN = 0.004
internal const val MAX_MILLIS_PER_TOKEN = 0.5

/** Processing milliseconds of a request to a plain service before any observation. */
internal const val DEFAULT_SERVICE_MILLIS = 25.0

/** Weight of one observation in learned processing times. */
internal const val PROCESSING_TIME_WEIGHT = 0.05

/** Bounds of the ratio of an observation to its prediction, so that a single stall changes the estimate little. */
internal const val MIN_LATENCY_RATIO = 0.25
internal const val MAX_LATENCY_RATIO = 8.0

/** Bounds of the ratio of an observed prefill time to its prediction, for the same reason. */
internal const val MIN_PREFILL_RATIO = 0.1
internal const val MAX_PREFILL_RATIO = 3.0

/** Factor on the weight of an observation that was slower than predicted. */
internal const val SLOWER_WEIGHT = 0.2

/** Minimum share of prefill in a prediction for the observation to be used for the model's prefill time. */
internal const val MIN_PREFILL_SHARE = 0.4

/** Weight of one observation in the latency ratio of a target. */
internal const val LATENCY_RATIO_WEIGHT = 0.1

/** Share by which the latency ratio of an idle target returns to 1 each second. */
internal const val LATENCY_RATIO_DECAY = 0.1

/** Smallest prediction in milliseconds that observations are compared with. */
internal const val MIN_PREDICTION_MILLIS = 20.0

/** Prompt parts remembered for each target; an engine's cache holds a few hundred prompts. */
internal const val REMEMBERED_PROMPT_PARTS = 1_024

/** Minimum number of prompt tokens that an engine computes even when the prompt is cached. */
internal const val MIN_PREFILL_TOKENS = 32

/** Share of the prefill time by which the affinity target of a prompt is preferred. */
internal const val AFFINITY_BONUS = 0.25

/** Milliseconds until an adapter is usable: the order, the load and the response. */
internal const val ADAPTER_LOAD_MILLIS = 90.0

/** Factor on the predicted latency of a target that has just started. */
internal const val COLD_FACTOR = 1.6

/** Share of an engine's memory that may be filled by requests; cached prompt parts need the rest. */
internal const val USABLE_MEMORY_SHARE = 0.95

/**
 * Longest rest in milliseconds that a target can ask for at once, and longest time for which its statements outlive its
 * entry in the store. No lease of the platform is longer, so a target that is still there has said more by then.
 */
internal const val TARGET_STATEMENT_LIFETIME_MILLIS = 600_000L

/** Milliseconds in which the running requests of an engine are replaced once. */
internal const val TURNOVER_MILLIS = 2_000.0

/** Milliseconds added for each request in flight at a plain service, to spread requests while slots are free. */
internal const val BUSY_MILLIS = 1.0

/** Largest random addition to a prediction, as a share of it. */
internal const val PREDICTION_JITTER = 0.1

/** Milliseconds for which a load that a target reported is used. */
internal const val REPORTED_LOAD_LIFETIME_MILLIS = 300L

/** Milliseconds for which models announced by the placement holder override a target's record: two heartbeats. */
internal const val ANNOUNCEMENT_LIFETIME_MILLIS = 2_500L

/** Milliseconds for which a target that refused for lack of a model or adapter is not asked for it again. */
internal const val MISSING_MODEL_MILLIS = 1_000L

/**
 * A target is suspected to be unresponsive once an unanswered request has taken its predicted latency times this
 * factor, plus the margin in milliseconds.
 */
internal const val UNRESPONSIVE_FACTOR = 2.0
internal const val UNRESPONSIVE_MARGIN_MILLIS = 600.0

/** Additional latency in milliseconds that is accepted to avoid traffic between regions, which is billed. */
internal const val OTHER_REGION_COST_MILLIS = 150.0

/** Round-trip milliseconds within a failure domain, within a region and between regions. */
internal const val SAME_DOMAIN_MILLIS = 2.0
internal const val SAME_REGION_MILLIS = 4.0
internal const val OTHER_REGION_MILLIS = 42.0

/** Milliseconds of engine time for each generated token before any observation. */
internal const val OUTPUT_TOKEN_MILLIS = 0.35
