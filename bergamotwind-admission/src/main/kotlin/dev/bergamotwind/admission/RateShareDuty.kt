package dev.bergamotwind.admission

import arrow.core.Either
import dev.bergamotwind.api.Failure
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.DutyHandler

/** Runs a [RateShareLedger] on a thread of its own, so that slow calls to the key-value service delay nothing else. */
public class RateShareDuty(private val ledger: RateShareLedger) : AutoCloseable {
    // Only the duty's thread changes and reads it. A tick after closing would grant a new lease.
    private var closed = false
    private val duty = Duty("rate-share", Handler(), RATE_SHARE_TICK_INTERVAL)

    /** Starts the thread and returns this. */
    public fun start(): RateShareDuty = apply { duty.start() }

    /** Follows an applied configuration; refused when the ring is full, so the caller repeats it. */
    public fun applyConfiguration(configuration: OperatorConfiguration): Either<Failure, Unit> =
        duty.send { ledger.applyConfiguration(configuration) }

    /** Notes the demand at all nodes, this one included. */
    public fun noteDemand(demand: List<TeamDemand>): Either<Failure, Unit> = duty.send { ledger.noteDemand(demand) }

    /** Returns the units, ends the lease and then the thread. Close this before [Admission]. */
    override fun close() {
        duty.send {
            closed = true
            ledger.close()
        }
        duty.close()
    }

    private inner class Handler : DutyHandler<() -> Unit> {
        override fun handle(message: () -> Unit) = message()

        override fun tick(nowNanos: Long) {
            if (!closed) ledger.tick()
        }
    }
}
