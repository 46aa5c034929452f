package dev.bergamotwind.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Keys of the memory ledgers; the target's id follows. */
internal const val LEDGER_PREFIX: String = "/bergamotwind/placement/ledger/"

/** Keys of the ownership records; the failure domain's id follows. */
internal const val OWNER_PREFIX: String = "/bergamotwind/placement/owner/"

/** Lease of the placement ownership. Long enough for a pause of the JVM, short enough for a quick succession. */
public val DEFAULT_OWNERSHIP_LEASE: Duration = 10.seconds

/** How long before the end of its lease an owner stops giving orders; covers clock drift and the way to the engine. */
public val DEFAULT_OWNERSHIP_MARGIN: Duration = 2.seconds

/** Time after which an order that has not arrived has no effect. */
public val DEFAULT_ORDER_DEADLINE: Duration = 5.seconds

/** Added to an order's deadline before memory is freed; covers the lag of reports and small jumps of the clock. */
public val DEFAULT_SETTLE_MARGIN: Duration = 3.seconds

/** How long a target whose report cannot be read is still planned with, so that one lost report moves nothing. */
public val DEFAULT_REPORT_PATIENCE: Duration = 5.seconds

/** Loads that the weight store starts each second (figure of the Association's store). */
public const val DEFAULT_STORE_LOADS_PER_SECOND: Double = 1.0

/** Loads that the weight store serves at once without slowing down (figure of the Association's store). */
public const val DEFAULT_STORE_CONCURRENT_LOADS: Int = 11

/** Adapter loads in flight beyond which each takes proportionally longer (figure of the Association's store). */
public const val DEFAULT_ADAPTER_LOADS_IN_FLIGHT: Int = 90

/** Tokens a second that one accelerator serves before requests slow each other down noticeably. */
public const val DEFAULT_TOKENS_PER_SECOND_PER_ACCELERATOR: Double = 2_500.0

/** Utilisation below which a target is not considered worth relieving. */
public const val DEFAULT_COMFORTABLE_UTILISATION: Double = 0.3

/** Weight of a model's part of all demand in the gain of a copy in a failure domain without one. */
public const val DEFAULT_SPREAD_WEIGHT: Double = 1.0

/** Evictions for further copies that may wait for their memory at the same time. */
public const val DEFAULT_PENDING_EXCHANGES: Int = 2

/** Fall of the congestion cost that an additional copy in unused memory must bring. */
public const val DEFAULT_COPY_GAIN: Double = 0.02

/** Fall of the congestion cost that is worth an eviction and a load, which keep memory unusable for a while. */
public const val DEFAULT_EVICTION_GAIN: Double = 0.1

/**
 * Least time a copy stays before demand may evict it; with three minutes a copy loaded for one burst
 * blocked the next.
 */
public val DEFAULT_MINIMUM_RESIDENCE: Duration = 1.minutes

/** Time constant with which a demand estimate rises. */
public val DEFAULT_DEMAND_RISE: Duration = 10.seconds

/** Time constant with which a demand estimate falls; longer, because an eviction too early costs a load. */
public val DEFAULT_DEMAND_FALL: Duration = 5.minutes
