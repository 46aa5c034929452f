package dev.bergamotwind.placement

import kotlin.time.Duration

/** Settings of placement. Utilisation and gains are defined by [CongestionCost]. */
public data class PlacementSettings(
    val weightStore: WeightStoreLimits = WeightStoreLimits(),
    val orderDeadline: Duration = DEFAULT_ORDER_DEADLINE,
    val orderExpiryMargin: Duration = DEFAULT_ORDER_EXPIRY_MARGIN,
    val maximumReportAge: Duration = DEFAULT_MAXIMUM_REPORT_AGE,
    val tokensPerSecondPerAccelerator: Double = DEFAULT_TOKENS_PER_SECOND_PER_ACCELERATOR,
    val congestionThreshold: Double = DEFAULT_CONGESTION_THRESHOLD,
    val spreadWeight: Double = DEFAULT_SPREAD_WEIGHT,
    val maximumPendingEvictions: Int = DEFAULT_MAXIMUM_PENDING_EVICTIONS,
    val minimumCopyGain: Double = DEFAULT_MINIMUM_COPY_GAIN,
    val minimumEvictionGain: Double = DEFAULT_MINIMUM_EVICTION_GAIN,
    val minimumResidence: Duration = DEFAULT_MINIMUM_RESIDENCE,
)
