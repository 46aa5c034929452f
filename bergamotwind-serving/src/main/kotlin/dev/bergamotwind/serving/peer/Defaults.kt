package dev.bergamotwind.serving.peer

/** Interval in milliseconds between heartbeats while there are few VMs. */
internal const val MIN_HEARTBEAT_INTERVAL_MILLIS = 100L

/**
 * Milliseconds of that interval for each VM: with more VMs the interval grows, so that a VM receives about 80 a second.
 */
internal const val HEARTBEAT_INTERVAL_PER_VM_MILLIS = 12L

/** Longest interval between heartbeats, which is also the lag with which rates are shared. */
internal const val MAX_HEARTBEAT_INTERVAL_MILLIS = 1_000L

/** Interval in milliseconds between heartbeats to other regions, whose traffic is charged for. */
internal const val CROSS_REGION_HEARTBEAT_INTERVAL_MILLIS = 400L

/** An extra heartbeat may be sent after this fraction (1/n) of the interval. */
internal const val EARLY_HEARTBEAT_DIVISOR = 5

/** Milliseconds after a VM's start in which the other VMs tell it what teams may still use: a few heartbeats. */
internal const val RECENT_START_MILLIS = 1_200L

/** Milliseconds without a heartbeat after which a VM counts as unreachable: two of the longest intervals. */
internal const val PEER_TIMEOUT_MILLIS = 2_000L

/** Milliseconds for which a VM whose registration has expired may still be running, cut off from the platform. */
internal const val DEREGISTERED_PEER_GRACE_MILLIS = 4_000L
