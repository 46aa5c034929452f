package dev.bergamotwind.serving.targets

/** Weight of one outcome in a target's share of failures: ten outcomes tell most. */
internal const val OUTCOME_WEIGHT = 0.2

/** Milliseconds in which half of a target's failures are forgotten; grey failures last some seconds. */
internal const val FAILURE_HALF_LIFE_MILLIS = 4_000.0

/** Milliseconds for which a target that could not be reached is avoided the first time. */
internal const val FIRST_SUSPENSION_MILLIS = 500L

/** Longest suspension is the first one doubled so often: four seconds, about three heartbeats. */
internal const val LARGEST_SUSPENSION_DOUBLING = 3

/** Milliseconds for which a target that another one has replaced at its address is avoided. */
internal const val REPLACED_SUSPENSION_MILLIS = 10_000L

/** Milliseconds a target that always fails costs a request: a failed attempt and the wait for the next. */
internal const val FAILURE_PENALTY_MILLIS = 3_000.0

/** Milliseconds for a token of a prompt before any was measured, of a large model. */
internal const val ASSUMED_MILLIS_PER_TOKEN = 0.055

/** Bounds of the learned milliseconds for a token of a prompt. */
internal const val LEAST_MILLIS_PER_TOKEN = 0.004
internal const val MOST_MILLIS_PER_TOKEN = 0.5

/** Milliseconds of work of a plain service before any was measured. */
internal const val ASSUMED_SERVICE_MILLIS = 25.0

/** Weight of one observation in learned speeds. */
internal const val SPEED_WEIGHT = 0.05

/** Bounds of one observation in relation to its prediction; a single stall must not change the speed much. */
internal const val SMALLEST_RATIO = 0.25
internal const val LARGEST_RATIO = 8.0

/** Bounds of an observed reading time of a prompt in relation to its prediction, for the same reason. */
internal const val SMALLEST_PROMPT_RATIO = 0.1
internal const val LARGEST_PROMPT_RATIO = 3.0

/** Part of its weight that an observation of slow reading has. */
internal const val SLOWER_WEIGHT = 0.2

/** Least part of a prediction that must be the reading of the prompt for the observation to tell the model's speed. */
internal const val LEAST_PROMPT_SHARE = 0.4

/** Weight of one observation in the slowness of a target. */
internal const val SLOWNESS_WEIGHT = 0.1

/** Part of the slowness that an idle target loses each second. */
internal const val SLOWNESS_FORGETTING = 0.1

/** Predictions in milliseconds below this are too small to compare with. */
internal const val LEAST_PREDICTION_MILLIS = 20.0

/** Prompt parts remembered for a target; an engine's cache holds a few hundred prompts. */
internal const val PROMPT_PARTS_REMEMBERED = 1_024

/** Tokens of a prompt that are read in any case. */
internal const val LEAST_PROMPT_TOKENS = 32

/** Part of a prompt's reading time that its home target is given ahead of the others. */
internal const val HOME_BONUS = 0.25

/** Milliseconds until an adapter can be used: the order, the load and the answer. */
internal const val ADAPTER_LOAD_MILLIS = 90.0

/** How much longer a target takes that has just started. */
internal const val COLD_FACTOR = 1.6

/** Share of an engine's memory that is planned with; cached prompt parts need the rest. */
internal const val MEMORY_SHARE_USED = 0.95

/** Milliseconds in which an engine's running requests are replaced once. */
internal const val RUN_MILLIS = 2_000.0

/** Milliseconds added for each request that a plain service already has, to spread requests while slots are free. */
internal const val BUSY_MILLIS = 1.0

/** Largest random addition to a prediction, as a part of it. */
internal const val PREDICTION_JITTER = 0.1

/** Milliseconds for which a load that a target reported says something. */
internal const val REPORTED_LOAD_LIFETIME_MILLIS = 300L

/** Milliseconds for which what the holder of orders told goes before a target's record: two heartbeats. */
internal const val HOLDINGS_LIFETIME_MILLIS = 2_500L

/** Milliseconds for which a target that refused for lack of a model or adapter is not asked for it. */
internal const val ABSENCE_MILLIS = 1_000L

/** A request without an answer is suspicious after this many times its prediction and the margin in milliseconds. */
internal const val MUTE_FACTOR = 2.0
internal const val MUTE_MARGIN_MILLIS = 600.0

/** Milliseconds of delay that are accepted to avoid bytes between regions, which are paid for. */
internal const val OTHER_REGION_COST_MILLIS = 150.0

/** Milliseconds of a round trip within a failure domain, within a region and between regions. */
internal const val SAME_DOMAIN_MILLIS = 2.0
internal const val SAME_REGION_MILLIS = 4.0
internal const val OTHER_REGION_MILLIS = 42.0

/** Milliseconds of an engine for one generated token while many requests share its steps. */
internal const val OUTPUT_TOKEN_MILLIS = 0.35
