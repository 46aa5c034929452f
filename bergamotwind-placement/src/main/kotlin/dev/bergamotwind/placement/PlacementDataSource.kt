package dev.bergamotwind.placement

import arrow.core.Either
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.OperatorConfiguration

/** Provides the configuration, demand and engine reports that a [PlacementController] plans with. */
public interface PlacementDataSource {
    /** Returns the configuration in effect on this node. */
    public fun configuration(): OperatorConfiguration

    /** Returns the latest demand estimate for the whole fleet. */
    public fun demand(): DemandEstimate

    /** Returns the latest report of [target], from the engine or, for another failure domain, from a peer. */
    public fun report(target: TargetId): Either<Failure, EngineReport>
}
