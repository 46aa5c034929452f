package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId

/** Provides the lease that claim records share; a new one is granted each [CLAIM_LEASE_REUSE_TIME]. */
internal class ClaimLeases(private val service: KeyValueService, private val clock: Clock) {
    private data class Granted(val lease: LeaseId, val requestedNanos: Long)

    private var granted: Granted? = null

    /** Returns a lease that still covers the whole retention time, counted from before the grant request was sent. */
    @Synchronized
    fun currentLease(): Either<Failure, LeaseId> {
        val now = clock.monotonicNanos()
        granted?.takeIf {
            now - it.requestedNanos < CLAIM_LEASE_REUSE_TIME.inWholeNanoseconds
        }?.let { return it.lease.right() }
        return service.grantLease(CLAIM_LEASE_TIME_TO_LIVE).onRight { granted = Granted(it, now) }
    }

    /** Stops using [lease], which the service no longer knows. */
    @Synchronized
    fun invalidate(lease: LeaseId) {
        if (granted?.lease == lease) granted = null
    }
}
