package dev.bergamotwind.replay

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.placement.PlacementSettings
import dev.bergamotwind.placement.StoreLimits
import dev.bergamotwind.routing.LeastInFlightPolicy
import dev.bergamotwind.routing.RoundRobinPolicy
import dev.bergamotwind.routing.ScoredPolicy
import dev.bergamotwind.routing.TargetSelectionPolicy
import kotlin.random.Random

/** What [policy] consists of. */
internal class PolicyParts(
    private val policy: ReplayPolicy,
    private val configuration: OperatorConfiguration,
    private val deployment: Deployment,
    private val clock: Clock,
    private val monitor: InvariantMonitor,
    seed: Long,
) {
    /** Placement at the start, the same for all policies. */
    val initial: InitialPlacement = InitialPlacement(configuration)

    /** Time between two steps of [placement]. */
    val intervalMillis: Long = if (policy == ReplayPolicy.NAIVE) NAIVE_INTERVAL_MILLIS else INTERVAL_MILLIS

    /** Chooses targets. */
    val selection: TargetSelectionPolicy = when (policy) {
        ReplayPolicy.ROUND_ROBIN -> RoundRobinPolicy()
        ReplayPolicy.LEAST_IN_FLIGHT -> LeastInFlightPolicy(Random(seed))
        else -> ScoredPolicy(Random(seed))
    }

    /** Places models. */
    val placement: PlacementStrategy = when (policy) {
        ReplayPolicy.ROUND_ROBIN, ReplayPolicy.LEAST_IN_FLIGHT -> StaticPlacement(initial)
        ReplayPolicy.NAIVE -> NaivePlacement(configuration)
        ReplayPolicy.PREVIOUS -> planned(previousSettings())
        ReplayPolicy.CURRENT -> planned(PlacementSettings())
    }

    private fun previousSettings() = PlacementSettings()

    private fun planned(settings: PlacementSettings): PlacementStrategy {
        val limits = StoreLimits(
            deployment.storeLoadsPerSecond,
            deployment.storeConcurrentLoads,
            deployment.adapterLoadsInFlight,
        )
        val measured = settings.copy(store = limits, tokensPerSecondPerAccelerator = ENGINE_TOKENS_PER_SECOND)
        return PlannedPlacement(configuration, measured, clock, monitor)
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        const val NAIVE_INTERVAL_MILLIS = 10_000L

        // A VirtualEngine with a full batch serves about 2,400 tokens a second, but then misses deadlines.
        const val ENGINE_TOKENS_PER_SECOND = 2_000.0
    }
}
