package dev.bergamotwind.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Interval between reads of the VM list. The list lags by seconds, so a shorter interval gains nothing. */
internal val VM_LIST_READ_INTERVAL: Duration = 2.seconds

/** Interval at which this node applies the state of its peers and publishes its own. */
internal val PEER_EXCHANGE_INTERVAL: Duration = 250.milliseconds

/** Interval between reads of the load report of a target. */
internal val REPORT_READ_INTERVAL: Duration = 500.milliseconds

/** Number of nodes that read the report of one target; the second is a backup in case the first has just failed. */
internal const val REPORT_READERS_PER_TARGET: Int = 2

/** Interval at which a node that watches the change log reads it, to confirm that its configuration is fresh. */
internal val FRESHNESS_CHECK_INTERVAL: Duration = 1.seconds

/** Interval at which a node that does not watch the change log reads it, in case the watchers have failed. */
internal val NON_WATCHER_POLL_INTERVAL: Duration = 30.seconds

/** Number of nodes of a failure domain that watch the change log. */
internal const val WATCHERS_PER_FAILURE_DOMAIN: Int = 2

/** Interval between planning steps of the placement owner. */
internal val PLACEMENT_PLANNING_INTERVAL: Duration = 1.seconds

/** Prompt bytes counted as one token. Low, because the estimate must not be below the engine's token count. */
internal const val BYTES_PER_TOKEN: Int = 3

/** Maximum number of completion tokens if the caller sets no limit. */
internal const val DEFAULT_MAXIMUM_TOKENS: Int = 256

/** Tokens charged for a call of a plain service, which reports no token count. */
internal const val SERVICE_CALL_TOKENS: Long = 1

/** Maximum number of targets tried for one request, the first included. */
internal const val MAXIMUM_TARGET_ATTEMPTS: Int = 3
