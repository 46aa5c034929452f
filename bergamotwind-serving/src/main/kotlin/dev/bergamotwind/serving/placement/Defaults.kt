package dev.bergamotwind.serving.placement

/** Milliseconds of work a second that one copy of a model should get: a little over half of an engine's time. */
internal const val WORK_PER_COPY = 550.0

/** Milliseconds of work a second below which a model counts as quiet. */
internal const val LEAST_WORK = 4

/** Work in milliseconds a second that one waiting request stands for: more than a model with one request in two s. */
internal const val WAITING_WORK = 130.0

/** Part of a model's work that is at risk while one engine alone has it. */
internal const val SINGLE_COPY_RISK = 0.12

/** Work in milliseconds a second that is added for a model that no engine holds, so that rare models are loaded. */
internal const val UNREACHABLE_WORK = 30.0

/** Least gain of a swap in milliseconds of work a second; an engine's disturbance is worth more than less. */
internal const val LEAST_GAIN = 25.0

/** Loss of the last copy of a quiet model whose weights stay at hand, in milliseconds of work a second. */
internal const val LAST_COPY_LOSS = 8.0

/** Loss of the last copy of a quiet model that must come from the weight store again. */
internal const val LAST_WEIGHTS_LOSS = 80.0

/** Added to the loss of a model with requests under way when victims are compared, as dropping it takes longer. */
internal const val IN_USE_LOSS = 15.0

/** Loss of a copy that others can stand in for, in milliseconds of work a second. */
internal const val SPARE_COPY_LOSS = 2.0

/** How much more a swap must gain than it loses; smaller advantages would swap back and forth. */
internal const val SWAP_ADVANTAGE = 1.5

/** How much more a further copy from the weight store must gain than the only one. */
internal const val FURTHER_COPY_FACTOR = 2.0

/** Loss for each request under way at an engine that drops a model, in milliseconds of work a second. */
internal const val REQUEST_DISTURBANCE = 0.5

/** Seconds for which a swap is expected to last; demand moves on after some ten. */
internal const val HORIZON_SECONDS = 10.0

/** Seconds of the weight store's rate that may be used at once; the platform tolerates five. */
internal const val STORE_BURST_SECONDS = 1.5

/** Loads from the weight store that may begin at once in any case. */
internal const val STORE_BURST_LEAST = 2.0

/** Milliseconds by which candidates of different rank try to become holder one after the other: some store calls. */
internal const val CANDIDACY_STEP_MILLIS = 50L

/** Milliseconds after its start in which a VM expects that the other VMs have just started too. */
internal const val ALL_STARTED_MILLIS = 2_000L

/** Milliseconds by which the VMs of one power-up may lag behind each other until they can try to become holder. */
internal const val LAST_HOLDER_WAIT_MILLIS = 500L

/** Ranks of candidates that are told apart, which bounds the wait in a large fleet. */
internal const val CANDIDACY_RANKS = 6

/** Milliseconds for which the end of a term is told beyond the hand-over time: some beats between regions. */
internal const val ENDED_TERM_MARGIN_MILLIS = 1_000L

/** Milliseconds until the removal of an ended term's item is tried again. */
internal const val TERM_REMOVAL_RETRY_MILLIS = 500L

/** Milliseconds after which a candidate looks whether there is a holder. */
internal const val CANDIDACY_RETRY_MILLIS = 700L

/** Part of a refused request's work that is not counted: one of two arrivals, as callers repeat a request once. */
internal const val REPEATED_SHARE = 0.5

/** Seconds over which demand is averaged. */
internal const val DEMAND_MEMORY_SECONDS = 3.0

/** Milliseconds in which the running requests of a model that is dropped mostly end. */
internal const val DROP_MILLIS = 800L

/** Milliseconds for dropping a model with requests under way; long streams take some seconds. */
internal const val BUSY_DROP_MILLIS = 4_000L

/** Least gain of a load from the weight store when all engines are busy, in milliseconds of work a second. */
internal const val STORE_LOAD_PRICE = 1_100.0

/** Power of the busy engines' share in that price: half of the engines may be loading before it matters much. */
internal const val STORE_PRICE_POWER = 3

/** Milliseconds for dropping a model without requests: the order and the heartbeat that tells its end. */
internal const val IDLE_DROP_MILLIS = 200L

/** Milliseconds after the expected end of a step, and between later checks, until the engine is asked. */
internal const val STEP_CHECK_MILLIS = 1_500L

/** A record that lacks a dropped model may be older than the drop for this many milliseconds. */
internal const val LEAST_STEP_MILLIS = 20L

/** Milliseconds after an order in which a record may still show the state before: two heartbeats. */
internal const val RECORD_LAG_MILLIS = 2_500L

/** Milliseconds until an engine that did not answer is asked again. */
internal const val REPORT_RETRY_MILLIS = 500L

/** Milliseconds for which an unanswered order may still be carried out; delays of up to 12 s are known. */
internal const val LATE_ORDER_MILLIS = 15_000L

/** Milliseconds until a refused or unanswered order is followed up; reports lag by some hundred. */
internal const val ORDER_RETRY_MILLIS = 300L

/** Milliseconds for which an engine is left alone at whose address another one answered. */
internal const val WRONG_TARGET_PAUSE_MILLIS = 3_000L

/** Milliseconds from the acceptance of an adapter to its presence while few are on their way. */
internal const val ADAPTER_ARRIVAL_MILLIS = 25L

/** Milliseconds until an engine is asked whether an adapter that requests still used is gone. */
internal const val ADAPTER_DROP_CHECK_MILLIS = 400L

/** Milliseconds for which orders for adapters go before a planned swap: some of them. */
internal const val SWAP_TURN_MILLIS = 200L

/** Milliseconds after which a swap that has not begun is planned anew. */
internal const val SWAP_LIFETIME_MILLIS = 1_000L

/** Milliseconds for which a loaded model is not dropped while it has work. */
internal const val RECENT_LOAD_MILLIS = 4_000L

/** Engines described in one beat, which keeps it within one packet. */
internal const val HOLDINGS_PER_BEAT = 8
