package dev.bergamotwind.admission

import arrow.core.Either
import dev.bergamotwind.api.Failure
import dev.bergamotwind.configuration.OperatorConfiguration
import java.util.concurrent.CompletableFuture

/** Messages to the admission thread. */
internal sealed interface AdmissionMessage {
    class Submit(val request: AdmissionRequest, val onDecision: (Either<Failure, AdmittedRequest>) -> Unit) :
        AdmissionMessage

    class ApplyConfiguration(val configuration: OperatorConfiguration) : AdmissionMessage

    class SetConcurrencyLimit(val limit: Int) : AdmissionMessage

    class UpdateFleetDemand(val demand: List<TeamDemand>) : AdmissionMessage

    /** A change of the rate shares, whose sender waits for [result]. */
    class UpdateRateShares<T>(val update: (TeamRateLimiter) -> T, val result: CompletableFuture<T>) : AdmissionMessage

    /** Wakes the thread to run settlements and cancellations, which do not pass through the message queue. */
    data object Wake : AdmissionMessage
}
