package dev.bergamotwind.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How often the VM list is read. Its lag is seconds, so reading more often gains nothing. */
internal val VM_LIST_INTERVAL: Duration = 2.seconds

/** How often this node takes over what peers have told, and tells them its own state. */
internal val PEER_INTERVAL: Duration = 250.milliseconds

/** How often the load reports of the targets that this node reads are read. */
internal val REPORT_INTERVAL: Duration = 500.milliseconds

/** Nodes that read the report of one target; the second covers a first that has just died. */
internal const val REPORT_READERS: Int = 2

/** How often a node that watches the change log checks its watch and confirms that it is fresh. */
internal val FRESHNESS_INTERVAL: Duration = 1.seconds

/** How often a node that does not watch reads the change log, to cover watchers that have failed. */
internal val SLOW_POLL_INTERVAL: Duration = 30.seconds

/** Number of nodes of a failure domain that watch the change log. */
internal const val WATCHERS_PER_FAILURE_DOMAIN: Int = 2

/** How often the placement owner plans. */
internal val PLACEMENT_INTERVAL: Duration = 1.seconds

/** Bytes of a prompt that make up at least one token; the estimate must not be below the engine's count. */
internal const val BYTES_PER_TOKEN: Int = 3

/** Tokens that an answer may have when the caller names no maximum. */
internal const val DEFAULT_MAXIMUM_TOKENS: Int = 256

/** Tokens that count for a call of a plain service, which reports no token count. */
internal const val SERVICE_CALL_TOKENS: Long = 1

/** Attempts at different targets for one idempotent request, the first included. */
internal const val MAXIMUM_ATTEMPTS: Int = 3
