package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId

/** The lease that the current hour's claim records share. */
internal class ClaimLeases(private val service: KeyValueService, private val clock: Clock) {
    private data class Granted(val lease: LeaseId, val sinceNanos: Long)

    private var granted: Granted? = null

    /** Returns a lease with at least the retention left, counted from before the grant was sent. */
    @Synchronized
    fun current(): Either<Failure, LeaseId> {
        val now = clock.monotonicNanos()
        granted?.takeIf {
            now - it.sinceNanos < CLAIM_LEASE_SHARING.inWholeNanoseconds
        }?.let { return it.lease.right() }
        return service.grantLease(CLAIM_LEASE_TIME_TO_LIVE).onRight { granted = Granted(it, now) }
    }

    /** The service no longer knows [lease]. */
    @Synchronized
    fun forget(lease: LeaseId) {
        if (granted?.lease == lease) granted = null
    }
}
