package dev.bergamotwind.api

import arrow.core.Either

/** Orders to engines and reports from targets. Calls block. Orders can be lost or arrive late. */
public interface EngineControl {
    /** Sends [order]. Success means that the engine has received it, not that it is carried out. */
    public fun send(order: EngineOrder): Either<Failure, Unit>

    /** Reads the current report of [target]. */
    public fun report(target: TargetId): Either<Failure, EngineReport>
}
