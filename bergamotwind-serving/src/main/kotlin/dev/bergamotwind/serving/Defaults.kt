package dev.bergamotwind.serving

/** Beginning of the keys under which VMs register. */
internal const val MEMBER_PREFIX = "bergamotwind/vm/"

/** Milliseconds between looks at what is due: beats and orders. */
internal const val TICK_MILLIS = 50L

/** Ticks between looks at what engines should hold. */
internal const val TICKS_PER_PLAN = 4L

/** Ticks between sweeps: one a second. */
internal const val TICKS_PER_SWEEP = 20L

/** Ticks between records of what the VM believes: one in five seconds. */
internal const val TICKS_PER_STATE = 100L

/** Milliseconds after a change until the others are told, so that several changes share a beat. */
internal const val EARLY_BEAT_MILLIS = 5L

/** Milliseconds after the store's return in which targets whose entries lapsed meanwhile may write them again. */
internal const val ENTRY_RETURN_MILLIS = 2_100L

/** Milliseconds without the store in which no entry lapses: two heartbeats of a target. */
internal const val LEAST_LAPSE_MILLIS = 2_000L

/** Milliseconds until the registration of this VM is tried again. */
internal const val REGISTRATION_RETRY_MILLIS = 500L

/** Milliseconds after the signal to stop in which idle connections are kept: two readiness checks of the balancer. */
internal const val CLOSE_IDLE_AFTER_MILLIS = 2_400L

/** Milliseconds after the signal to stop from which new requests are refused. */
internal const val REFUSE_AFTER_MILLIS = 3_000L

/** Milliseconds before the end of the grace at which requests that are not answered get their final answer. */
internal const val ANSWER_MARGIN_MILLIS = 1_000L

/** Milliseconds before the end of the grace at which the process ends in any case. */
internal const val END_MARGIN_MILLIS = 600L

/** Part of a target's connections that all VMs together use. */
internal const val CONNECTION_SHARE_USED = 0.85

/** Connections to one target that a VM may open in any case. */
internal const val LEAST_CONNECTIONS = 3
