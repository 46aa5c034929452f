package dev.bergamotwind.admission

import arrow.core.Either
import dev.bergamotwind.api.Failure
import dev.bergamotwind.configuration.OperatorConfiguration
import java.util.concurrent.CompletableFuture

/** Messages to the admission duty. */
internal sealed interface AdmissionMessage {
    class Submit(val request: AdmissionRequest, val onDecision: (Either<Failure, Admitted>) -> Unit) : AdmissionMessage

    class ApplyConfiguration(val configuration: OperatorConfiguration) : AdmissionMessage

    class LimitConcurrency(val limit: Int) : AdmissionMessage

    class NoteFleetDemand(val demand: List<TeamDemand>) : AdmissionMessage

    /** A change of the rate shares by the ledger, which waits for [done]. */
    class ChangeShares<T>(val change: (RateShares) -> T, val done: CompletableFuture<T>) : AdmissionMessage

    /** Wakes the duty to carry out settlements and cancellations, which do not pass through the ring. */
    data object Wake : AdmissionMessage
}
