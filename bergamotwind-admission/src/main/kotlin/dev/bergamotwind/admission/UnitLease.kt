package dev.bergamotwind.admission

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import kotlin.time.Duration

/**
 * Grants and keeps alive the lease of this node's units. The units may be used until the cut-off: the send time of the
 * last successful keep-alive plus the time to live minus the margin. The service counts the time to live from a later
 * moment than the send time, so the node stops using the units before the service can give them to another node.
 */
internal class UnitLease(
    private val service: KeyValueService,
    private val clock: Clock,
    private val buckets: RateShareBuckets,
    private val margin: Duration = UNIT_LEASE_MARGIN,
) {
    private var lease: LeaseId? = null
    private var cutoffNanos = Long.MIN_VALUE
    private var nextKeepAliveNanos = Long.MIN_VALUE

    /** Returns the lease under which units can be acquired now, or null if there is none or it is past its cut-off. */
    fun activeLease(): LeaseId? = lease.takeIf { clock.monotonicNanos() < cutoffNanos }

    /** Returns the lease of the acquired units, even when it is past its cut-off, or null when it has ended. */
    fun heldLease(): LeaseId? = lease

    /** Grants the lease or keeps it alive when due; returns true when the lease has expired, with all its units. */
    fun keepAliveIfDue(): Boolean {
        val sentNanos = clock.monotonicNanos()
        if (sentNanos < nextKeepAliveNanos) return false
        nextKeepAliveNanos = sentNanos + KEEP_ALIVE_INTERVAL.inWholeNanoseconds
        val existing = lease
        if (existing == null) {
            service.grantLease(UNIT_LEASE_DURATION).onRight { updateCutoff(it, sentNanos, UNIT_LEASE_DURATION) }
            return false
        }
        return service.keepAlive(existing).fold(
            { failure -> (failure is Failure.LeaseExpired).also { if (it) dropLease() } },
            { timeToLive ->
                updateCutoff(existing, sentNanos, timeToLive)
                false
            },
        )
    }

    /** Revokes the lease; the service deletes the records that are still attached to it. */
    fun close() {
        lease?.let(service::revokeLease)
        dropLease()
    }

    private fun updateCutoff(id: LeaseId, sentNanos: Long, timeToLive: Duration) {
        lease = id
        cutoffNanos = sentNanos + (timeToLive - margin).inWholeNanoseconds
        buckets.extendUnitLease(id, cutoffNanos)
    }

    private fun dropLease() {
        lease = null
        cutoffNanos = Long.MIN_VALUE
        nextKeepAliveNanos = Long.MIN_VALUE
        buckets.dropAllUnits()
    }
}
