package dev.bergamotwind.placement

import kotlin.time.Duration

/** Settings of placement. Utilisation and gains are defined by [PlacementPlanner]. */
public data class PlacementSettings(
    val store: StoreLimits = StoreLimits(),
    val orderDeadline: Duration = DEFAULT_ORDER_DEADLINE,
    val settleMargin: Duration = DEFAULT_SETTLE_MARGIN,
    val reportPatience: Duration = DEFAULT_REPORT_PATIENCE,
    val tokensPerSecondPerAccelerator: Double = DEFAULT_TOKENS_PER_SECOND_PER_ACCELERATOR,
    val comfortableUtilisation: Double = DEFAULT_COMFORTABLE_UTILISATION,
    val spreadWeight: Double = DEFAULT_SPREAD_WEIGHT,
    val pendingExchanges: Int = DEFAULT_PENDING_EXCHANGES,
    val copyGain: Double = DEFAULT_COPY_GAIN,
    val evictionGain: Double = DEFAULT_EVICTION_GAIN,
    val minimumResidence: Duration = DEFAULT_MINIMUM_RESIDENCE,
)
