package dev.bergamotwind.placement

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.FencingNumber
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.VmId
import kotlin.time.Duration

/**
 * Ownership of placement in one failure domain, backed by a record with a lease in the key-value service. The create
 * revision of the record is the fencing number. Not thread-safe.
 */
public class PlacementOwnership(
    private val keyValue: KeyValueService,
    private val clock: Clock,
    private val node: VmId,
    failureDomain: FailureDomainId,
    private val timeToLive: Duration = DEFAULT_OWNERSHIP_LEASE_DURATION,
    private val expiryMargin: Duration = DEFAULT_OWNERSHIP_EXPIRY_MARGIN,
) {
    private val key = OWNER_PREFIX + failureDomain
    private var lease: LeaseId? = null
    private var fencing: FencingNumber? = null
    private var lastAttemptNanos: Long? = null
    private var leaseSentNanos = 0L
    private var leaseDuration = timeToLive

    /** Returns a transaction condition that holds while the ownership record is the one that [fencing] stems from. */
    public fun ownershipCondition(fencing: FencingNumber): Compare = Compare.CreatedAt(key, Revision(fencing.value))

    /**
     * Returns the fencing number while this node may send orders, that is, while it holds the ownership record and its
     * clock has not reached the end of the lease minus a margin; otherwise null. Makes no call to the service.
     */
    public fun currentFencing(): FencingNumber? = fencing.takeIf { leaseAge() < leaseDuration - expiryMargin }

    /**
     * Renews the lease once a third of it has passed, or tries to become owner if no node is. A node that is not the
     * owner reads the record only once per half lease, because calls to the service are limited.
     */
    public fun renewOrAcquire(): Either<Failure, FencingNumber?> {
        val heldLease = lease
        return when {
            heldLease != null && fencing != null ->
                if (leaseAge() * RENEWALS_PER_LEASE < leaseDuration) {
                    currentFencing().right()
                } else {
                    renewLease(heldLease).map { currentFencing() }
                }

            lastAttemptNanos?.let { clock.elapsedSince(it) < timeToLive / ATTEMPTS_PER_LEASE } ?: false -> null.right()

            else -> tryAcquire()
        }
    }

    /** Gives up ownership and revokes the lease. */
    public fun release(): Either<Failure, Unit> {
        val heldLease = lease ?: return Unit.right()
        clearLease()
        return keyValue.revokeLease(heldLease)
    }

    private fun tryAcquire(): Either<Failure, FencingNumber?> {
        lastAttemptNanos = clock.monotonicNanos()
        if (lease != null && leaseAge() >= leaseDuration) clearLease()
        return keyValue.get(key).flatMap { entry ->
            when {
                entry != null -> readFencing(entry).right()
                lease == null -> grantLease().flatMap { createOwnershipRecord() }
                else -> createOwnershipRecord()
            }
        }
    }

    private fun grantLease(): Either<Failure, Unit> {
        val sent = clock.monotonicNanos()
        return keyValue.grantLease(timeToLive).map { granted ->
            lease = granted
            leaseSentNanos = sent
            leaseDuration = timeToLive
        }
    }

    private fun renewLease(heldLease: LeaseId): Either<Failure, Unit> {
        val sent = clock.monotonicNanos()
        return keyValue.keepAlive(heldLease).fold(
            { failure ->
                if (failure is Failure.LeaseExpired) clearLease()
                failure.left()
            },
            { length ->
                leaseSentNanos = sent
                leaseDuration = length
                Unit.right()
            },
        )
    }

    private fun createOwnershipRecord(): Either<Failure, FencingNumber?> {
        val create = Transaction(listOf(Compare.Absent(key)), listOf(Operation.Put(key, node.value, lease)))
        val failure = keyValue.transact(create).leftOrNull()
        if (failure != null && failure !is Failure.OutcomeUnknown) {
            if (failure is Failure.LeaseExpired) clearLease()
            return failure.left()
        }
        // Reading the record back resolves a lost response: it names the lease, and no other node has that lease.
        return keyValue.get(key).map { entry -> entry?.let(::readFencing) }
    }

    private fun readFencing(entry: KeyValueEntry): FencingNumber? {
        fencing = FencingNumber(entry.createRevision.value).takeIf { lease != null && entry.lease == lease }
        return currentFencing()
    }

    private fun clearLease() {
        lease = null
        fencing = null
    }

    private fun leaseAge(): Duration = clock.elapsedSince(leaseSentNanos)

    private companion object {
        const val RENEWALS_PER_LEASE = 3
        const val ATTEMPTS_PER_LEASE = 2
    }
}
