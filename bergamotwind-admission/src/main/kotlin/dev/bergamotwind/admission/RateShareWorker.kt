package dev.bergamotwind.admission

import arrow.core.Either
import dev.bergamotwind.api.Failure
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.DutyHandler

/**
 * Runs a [RateShareCoordinator] on a thread of its own, so that slow calls to the key-value service delay nothing else.
 */
public class RateShareWorker(private val coordinator: RateShareCoordinator) : AutoCloseable {
    // Accessed by the worker thread only. A tick after closing would grant a new lease.
    private var closed = false
    private val workerThread = Duty("rate-share", MessageHandler(), RATE_SHARE_TICK_INTERVAL)

    /** Starts the worker thread and returns this. */
    public fun start(): RateShareWorker = apply { workerThread.start() }

    /** Switches to [configuration]. Fails when the message queue is full; the caller has to retry. */
    public fun applyConfiguration(configuration: OperatorConfiguration): Either<Failure, Unit> =
        workerThread.send { coordinator.applyConfiguration(configuration) }

    /** Updates the demand of all nodes, including this one. */
    public fun updateDemand(demand: List<TeamDemand>): Either<Failure, Unit> =
        workerThread.send { coordinator.updateDemand(demand) }

    /** Returns the units, revokes the lease and stops the thread. Must be closed before [AdmissionController]. */
    override fun close() {
        workerThread.send {
            closed = true
            coordinator.close()
        }
        workerThread.close()
    }

    private inner class MessageHandler : DutyHandler<() -> Unit> {
        override fun handle(message: () -> Unit) = message()

        override fun tick(nowNanos: Long) {
            if (!closed) coordinator.tick()
        }
    }
}
