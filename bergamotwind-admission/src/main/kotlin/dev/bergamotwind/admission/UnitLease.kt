package dev.bergamotwind.admission

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import kotlin.time.Duration

/**
 * Keeps the lease of this node's units. The cut-off is the send time of the last keep-alive that succeeded, plus the
 * lease time, less the margin: the service counts the lease from a later moment than the send time, so the node stops
 * before the service can give the units to another one.
 */
internal class UnitLease(
    private val service: KeyValueService,
    private val clock: Clock,
    private val holder: RateShareHolder,
    private val margin: Duration = UNIT_LEASE_MARGIN,
) {
    private var lease: LeaseId? = null
    private var cutoffNanos = Long.MIN_VALUE
    private var nextKeepAliveNanos = Long.MIN_VALUE

    /** The lease under which units can be acquired now, or null. */
    fun usable(): LeaseId? = lease.takeIf { clock.monotonicNanos() < cutoffNanos }

    /** The lease of units already acquired, past its cut-off or not, or null when it is gone. */
    fun current(): LeaseId? = lease

    /** Grants or keeps alive when due; returns whether a previous lease has been lost with all its units. */
    fun tick(): Boolean {
        val sentNanos = clock.monotonicNanos()
        if (sentNanos < nextKeepAliveNanos) return false
        nextKeepAliveNanos = sentNanos + KEEP_ALIVE_INTERVAL.inWholeNanoseconds
        val known = lease
        if (known == null) {
            service.grantLease(UNIT_LEASE).onRight { extend(it, sentNanos, UNIT_LEASE) }
            return false
        }
        return service.keepAlive(known).fold(
            { failure -> (failure is Failure.LeaseExpired).also { if (it) lose() } },
            { timeToLive ->
                extend(known, sentNanos, timeToLive)
                false
            },
        )
    }

    /** Ends the lease; the service deletes what is still attached to it. */
    fun close() {
        lease?.let(service::revokeLease)
        lose()
    }

    private fun extend(id: LeaseId, sentNanos: Long, timeToLive: Duration) {
        lease = id
        cutoffNanos = sentNanos + (timeToLive - margin).inWholeNanoseconds
        holder.extendUnits(id, cutoffNanos)
    }

    private fun lose() {
        lease = null
        cutoffNanos = Long.MIN_VALUE
        nextKeepAliveNanos = Long.MIN_VALUE
        holder.loseUnits()
    }
}
