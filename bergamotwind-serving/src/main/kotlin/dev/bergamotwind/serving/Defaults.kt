package dev.bergamotwind.serving

/** Prefix of the store keys under which VMs register. */
internal const val MEMBER_KEY_PREFIX = "bergamotwind/vm/"

/** Interval in milliseconds of the periodic work on the serving loop: heartbeats and orders. */
internal const val TICK_MILLIS = 50L

/** Ticks between runs of the placement planner. */
internal const val TICKS_PER_PLAN = 4L

/** Ticks between removals of expired state: one a second. */
internal const val TICKS_PER_EXPIRY = 20L

/** Ticks between records of the VM's state: one in five seconds. */
internal const val TICKS_PER_STATE_EVENT = 100L

/** Milliseconds after a change before the other VMs are told, so that several changes share one heartbeat. */
internal const val EARLY_HEARTBEAT_DELAY_MILLIS = 5L

/** Milliseconds after the store's recovery in which targets whose entries expired meanwhile may write them again. */
internal const val ENTRY_REWRITE_MILLIS = 2_100L

/** Shortest outage of the store in milliseconds in which an entry can expire: two heartbeats of a target. */
internal const val MIN_ENTRY_EXPIRY_MILLIS = 2_000L

/** Milliseconds before the registration of this VM is retried. */
internal const val REGISTRATION_RETRY_MILLIS = 500L

/**
 * Milliseconds after the stop signal for which idle connections are kept: two readiness checks of the load balancer.
 */
internal const val CLOSE_IDLE_AFTER_MILLIS = 2_400L

/**
 * Milliseconds after the stop signal after which new requests are refused. The platform permits cutting requests at the
 * end of the grace that were sent within 3 s of the signal, which a busy process may handle up to 300 ms late.
 */
internal const val REFUSE_AFTER_MILLIS = 2_700L

/** New requests are refused at the latest after this fraction (1/n) of the grace, so that they have the rest to end. */
internal const val REFUSE_AFTER_GRACE_DIVISOR = 3

/** Milliseconds before the end of the grace period at which unanswered requests get their final answer. */
internal const val ANSWER_MARGIN_MILLIS = 1_000L

/** Milliseconds before the end of the grace period at which the process exits in any case. */
internal const val EXIT_MARGIN_MILLIS = 600L

/** Share of a target's connection limit that all VMs together may use. */
internal const val USABLE_CONNECTION_SHARE = 0.85

/** Minimum number of connections to one target that a VM may open. */
internal const val MIN_CONNECTIONS_PER_TARGET = 3
