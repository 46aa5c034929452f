package dev.bergamotwind.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Prefix of the keys of memory ledgers; the id of the target follows. */
internal const val LEDGER_PREFIX: String = "/bergamotwind/placement/ledger/"

/** Prefix of the keys of ownership records; the id of the failure domain follows. */
internal const val OWNER_PREFIX: String = "/bergamotwind/placement/owner/"

/** Lease duration of placement ownership: long enough to survive a JVM pause, short enough for a quick failover. */
public val DEFAULT_OWNERSHIP_LEASE_DURATION: Duration = 10.seconds

/** How long before its lease expires an owner stops sending orders; covers clock drift and delivery to the engine. */
public val DEFAULT_OWNERSHIP_EXPIRY_MARGIN: Duration = 2.seconds

/** Time within which an order must reach its engine; an order that arrives later has no effect. */
public val DEFAULT_ORDER_DEADLINE: Duration = 5.seconds

/** Wait after an order's deadline before memory is freed; covers the lag of reports and small clock jumps. */
public val DEFAULT_ORDER_EXPIRY_MARGIN: Duration = 3.seconds

/** Age up to which a report is used for planning, so that a single lost report does not cause moves. */
public val DEFAULT_MAXIMUM_REPORT_AGE: Duration = 5.seconds

/** Loads per second that the weight store starts (figure given for the Association's store). */
public const val DEFAULT_STORE_LOADS_PER_SECOND: Double = 1.0

/** Concurrent loads that the weight store serves without slowdown (figure given for the Association's store). */
public const val DEFAULT_STORE_CONCURRENT_LOADS: Int = 11

/** Adapter loads in flight above which each takes proportionally longer (figure given for the Association's store). */
public const val DEFAULT_ADAPTER_LOADS_IN_FLIGHT: Int = 90

/** Tokens per second that one accelerator serves before concurrent requests noticeably slow each other down. */
public const val DEFAULT_TOKENS_PER_SECOND_PER_ACCELERATOR: Double = 2_500.0

/** Utilisation up to which an engine does not count as congested and adds nothing to the congestion cost. */
public const val DEFAULT_CONGESTION_THRESHOLD: Double = 0.3

/** Weight of a model's share of the total demand in the gain of its first copy in a failure domain. */
public const val DEFAULT_SPREAD_WEIGHT: Double = 1.0

/** Number of engines with unfinished model moves at which no further copy is evicted to make room for another one. */
public const val DEFAULT_MAXIMUM_PENDING_EVICTIONS: Int = 2

/** Minimum decrease of the congestion cost for which a copy is added in unused memory. */
public const val DEFAULT_MINIMUM_COPY_GAIN: Double = 0.02

/** Minimum decrease for an eviction followed by a load, which together make memory unusable for a while. */
public const val DEFAULT_MINIMUM_EVICTION_GAIN: Double = 0.1

/**
 * Minimum time that a copy stays loaded before it may be evicted for demand. With three minutes a copy that was loaded
 * for one burst blocked the copies needed for the next.
 */
public val DEFAULT_MINIMUM_RESIDENCE: Duration = 1.minutes

/** Time constant of the demand estimate while demand rises. */
public val DEFAULT_DEMAND_RISE_TIME_CONSTANT: Duration = 10.seconds

/** Time constant while demand falls; longer, because evicting a copy too early costs another load. */
public val DEFAULT_DEMAND_FALL_TIME_CONSTANT: Duration = 5.minutes
