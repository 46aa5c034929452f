package dev.bergamotwind.placement

import arrow.core.Either
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.OperatorConfiguration

/** Where a [PlacementController] learns what to plan for. */
public interface PlacementSources {
    /** The configuration in effect at this node. */
    public fun configuration(): OperatorConfiguration

    /** The newest demand estimate for the whole fleet. */
    public fun demand(): DemandEstimate

    /** The newest report of [target]; may come from the engine itself or, for other failure domains, from a peer. */
    public fun report(target: TargetId): Either<Failure, EngineReport>
}
