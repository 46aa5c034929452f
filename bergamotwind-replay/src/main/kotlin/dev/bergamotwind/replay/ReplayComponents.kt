package dev.bergamotwind.replay

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.placement.DEFAULT_DEMAND_RISE_TIME_CONSTANT
import dev.bergamotwind.placement.PlacementSettings
import dev.bergamotwind.placement.WeightStoreLimits
import dev.bergamotwind.routing.LeastInFlightPolicy
import dev.bergamotwind.routing.RoundRobinPolicy
import dev.bergamotwind.routing.ScoredPolicy
import dev.bergamotwind.routing.TargetSelectionPolicy
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** The routing and placement components that a replay uses for [policy]. */
internal class ReplayComponents(
    private val policy: ReplayPolicy,
    private val configuration: OperatorConfiguration,
    private val deployment: Deployment,
    private val clock: Clock,
    private val monitor: InvariantMonitor,
    seed: Long,
) {
    /** Placement at the start, the same for all policies. */
    val initialPlacement: InitialPlacement = InitialPlacement(configuration)

    /** Time between two steps of [placement]. */
    val intervalMillis: Long = if (policy == ReplayPolicy.NAIVE) NAIVE_INTERVAL_MILLIS else INTERVAL_MILLIS

    /** Time constant with which the demand estimate rises. */
    val demandRise: Duration =
        if (policy == ReplayPolicy.PREVIOUS) PREVIOUS_DEMAND_RISE else DEFAULT_DEMAND_RISE_TIME_CONSTANT

    /** Selects the target of each call. */
    val selectionPolicy: TargetSelectionPolicy = when (policy) {
        ReplayPolicy.ROUND_ROBIN -> RoundRobinPolicy()
        ReplayPolicy.LEAST_IN_FLIGHT -> LeastInFlightPolicy(Random(seed))
        else -> ScoredPolicy(Random(seed))
    }

    /** Decides which engine loads which model. */
    val placement: PlacementStrategy = when (policy) {
        ReplayPolicy.ROUND_ROBIN, ReplayPolicy.LEAST_IN_FLIGHT -> StaticPlacement(initialPlacement)
        ReplayPolicy.NAIVE -> NaivePlacement(configuration)
        ReplayPolicy.PREVIOUS -> plannedPlacement(previousSettings())
        ReplayPolicy.CURRENT -> plannedPlacement(PlacementSettings())
    }

    private fun previousSettings() = PlacementSettings(
        orderDeadline = PREVIOUS_ORDER_DEADLINE,
        orderExpiryMargin = PREVIOUS_SETTLE_MARGIN,
        spreadWeight = 0.0,
        maximumPendingEvictions = 1,
        minimumEvictionGain = PREVIOUS_EVICTION_GAIN,
        minimumResidence = PREVIOUS_MINIMUM_RESIDENCE,
    )

    private fun plannedPlacement(settings: PlacementSettings): PlacementStrategy {
        val limits = WeightStoreLimits(
            deployment.storeLoadsPerSecond,
            deployment.storeConcurrentLoads,
            deployment.adapterLoadsInFlight,
        )
        val replaySettings =
            settings.copy(weightStore = limits, tokensPerSecondPerAccelerator = ENGINE_TOKENS_PER_SECOND)
        return PlannedPlacement(configuration, replaySettings, clock, monitor)
    }

    private companion object {
        val PREVIOUS_DEMAND_RISE = 20.seconds
        val PREVIOUS_ORDER_DEADLINE = 10.seconds
        val PREVIOUS_SETTLE_MARGIN = 5.seconds
        val PREVIOUS_MINIMUM_RESIDENCE = 3.minutes
        const val PREVIOUS_EVICTION_GAIN = 0.15
        const val INTERVAL_MILLIS = 1_000L
        const val NAIVE_INTERVAL_MILLIS = 10_000L

        // A VirtualEngine with a full batch serves about 2,400 tokens a second, but then misses deadlines.
        const val ENGINE_TOKENS_PER_SECOND = 2_000.0
    }
}
