package dev.bergamotwind.serving.placement

/** Work in milliseconds a second that one copy of a model should handle: a little over half of an engine's time. */
internal const val WORK_MILLIS_PER_COPY = 550.0

/** Work in milliseconds a second below which a model counts as idle. */
internal const val MIN_ACTIVE_WORK = 4

/**
 * Work in milliseconds a second added for each waiting request: more than that of a model with one request every 2 s.
 */
internal const val WORK_PER_WAITING_REQUEST = 130.0

/** Share of a model's work that is at risk while only one engine has the model. */
internal const val SINGLE_COPY_RISK_SHARE = 0.12

/** Work in milliseconds a second added for a model that no engine holds, so that rarely used models are loaded too. */
internal const val UNLOADED_MODEL_WORK = 30.0

/** Times of its load from the weight store after which a model asked for in vain is loaded before all others. */
internal const val UNSERVED_LOAD_TIMES = 2

/** Minimum gain of a swap in milliseconds of work a second; a smaller gain does not justify disturbing an engine. */
internal const val MIN_SWAP_GAIN = 25.0

/**
 * Loss of unloading the last copy of an idle model whose weights stay on the engine, in milliseconds of work a second.
 */
internal const val LAST_COPY_LOSS = 8.0

/** Loss of unloading the last copy of an idle model that must then be loaded from the weight store again. */
internal const val LAST_LOCAL_WEIGHTS_LOSS = 80.0

/**
 * Added to the loss of a model with running requests when candidates for unloading are ranked: it takes longer to
 * unload.
 */
internal const val IN_USE_UNLOAD_LOSS = 15.0

/** Loss of unloading a copy that other copies can replace, in milliseconds of work a second. */
internal const val REDUNDANT_COPY_LOSS = 2.0

/** Factor by which a swap's gain must exceed its loss; with a smaller one models would be swapped back and forth. */
internal const val MIN_GAIN_TO_LOSS_RATIO = 1.5

/** Factor on the gain required to load an additional copy, rather than the only one, from the weight store. */
internal const val ADDITIONAL_COPY_FACTOR = 2.0

/** Loss for each running request at an engine that unloads a model, in milliseconds of work a second. */
internal const val LOSS_PER_RUNNING_REQUEST = 0.5

/** Seconds for which a swap is expected to be useful; demand shifts after about ten. */
internal const val SWAP_HORIZON_SECONDS = 10.0

/** Burst of loads from the weight store, in seconds of its rate; the platform tolerates five. */
internal const val STORE_LOAD_BURST_SECONDS = 1.5

/** Minimum burst of loads from the weight store. */
internal const val MIN_STORE_LOAD_BURST = 2.0

/** Delay in milliseconds between candidates of consecutive ranks: a few calls to the store. */
internal const val CANDIDACY_RANK_DELAY_MILLIS = 50L

/** Milliseconds after its start during which a VM assumes that the other VMs have just started too. */
internal const val STARTUP_WINDOW_MILLIS = 2_000L

/** Milliseconds for which other VMs wait for the last holder after a power-up: the spread of the VMs' start times. */
internal const val LAST_HOLDER_WAIT_MILLIS = 500L

/** Maximum number of later starts that count for a candidate's rank, which bounds the wait in a large fleet. */
internal const val MAX_RANKED_LATER_STARTS = 6

/** Milliseconds beyond the hand-over time for which an ended term is announced: a few heartbeats between regions. */
internal const val ENDED_TERM_ANNOUNCEMENT_MARGIN_MILLIS = 1_000L

/** Milliseconds before the removal of an ended term's item is retried. */
internal const val HOLDER_ITEM_REMOVAL_RETRY_MILLIS = 500L

/** Milliseconds after an attempt before a candidate checks whether there is a holder. */
internal const val CANDIDACY_RETRY_MILLIS = 700L

/** Share of a refused request's work that is not counted: one of two arrivals, as callers usually retry once. */
internal const val RETRIED_REQUEST_SHARE = 0.5

/** Time constant in seconds of the moving average of demand. */
internal const val DEMAND_TIME_CONSTANT_SECONDS = 3.0

/** Milliseconds within which the running requests of a model that is being unloaded mostly end. */
internal const val UNLOAD_MILLIS = 800L

/** Milliseconds for unloading a model with running requests; long streams take a few seconds. */
internal const val BUSY_UNLOAD_MILLIS = 4_000L

/** Minimum gain of a load from the weight store when all engines are busy, in milliseconds of work a second. */
internal const val STORE_LOAD_GAIN_WHEN_ALL_BUSY = 1_100.0

/** Exponent of the share of busy engines in that minimum: it stays low until about half of the engines are busy. */
internal const val STORE_LOAD_GAIN_EXPONENT = 3

/** Milliseconds for unloading a model without requests: the order and the heartbeat that reports its end. */
internal const val IDLE_UNLOAD_MILLIS = 200L

/**
 * Milliseconds after an operation's expected end, and between later checks, before the engine is asked for a report.
 */
internal const val OPERATION_CHECK_MILLIS = 1_500L

/** A record without an unloaded model may predate the order for this many milliseconds. */
internal const val MIN_OPERATION_MILLIS = 20L

/** Milliseconds after an order for which a record may still show the earlier state: two heartbeats. */
internal const val RECORD_LAG_MILLIS = 2_500L

/** Milliseconds before an engine that did not answer is asked again. */
internal const val REPORT_RETRY_MILLIS = 500L

/** Milliseconds for which an unanswered order may still be executed; delays of up to 12 s are known. */
internal const val LATE_ORDER_MILLIS = 15_000L

/** Milliseconds before a rejected or unanswered order is followed up; reports lag by a few hundred. */
internal const val ORDER_RETRY_MILLIS = 300L

/** Milliseconds for which an engine gets no order after another engine has answered at its address. */
internal const val WRONG_TARGET_PAUSE_MILLIS = 3_000L

/** Milliseconds from the acceptance of an adapter until the engine has it, while few are being loaded. */
internal const val ADAPTER_LOAD_MILLIS = 25L

/** Milliseconds before an engine is asked whether an adapter that requests were still using has been unloaded. */
internal const val ADAPTER_UNLOAD_CHECK_MILLIS = 400L

/** Milliseconds for which orders for adapters take precedence over a planned swap: a few orders. */
internal const val ADAPTER_PRECEDENCE_MILLIS = 200L

/** Milliseconds after which a planned swap that has not started is discarded and planned anew. */
internal const val PLANNED_SWAP_TIMEOUT_MILLIS = 1_000L

/** Milliseconds after its load for which a model in use is not unloaded. */
internal const val RECENT_LOAD_MILLIS = 4_000L

/** Maximum number of engines described in one heartbeat, so that it fits into one packet. */
internal const val HOLDINGS_PER_HEARTBEAT = 8
