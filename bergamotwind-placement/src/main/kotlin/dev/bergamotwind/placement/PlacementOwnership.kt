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
 * Placement ownership of one failure domain by this node. The fencing number is the create revision of the ownership
 * record. Used by one thread.
 */
public class PlacementOwnership(
    private val keyValue: KeyValueService,
    private val clock: Clock,
    private val node: VmId,
    failureDomain: FailureDomainId,
    private val timeToLive: Duration = DEFAULT_OWNERSHIP_LEASE,
    private val margin: Duration = DEFAULT_OWNERSHIP_MARGIN,
) {
    private val key = OWNER_PREFIX + failureDomain
    private var lease: LeaseId? = null
    private var fencing: FencingNumber? = null
    private var lastAttemptNanos: Long? = null
    private var leaseSentNanos = 0L
    private var leaseLength = timeToLive

    /** Holds as long as the ownership record is the one under which [current] is valid. */
    public fun compare(current: FencingNumber): Compare = Compare.CreatedAt(key, Revision(current.value))

    /**
     * Returns the fencing number while this node may give orders: it holds the record, and its own clock has not
     * reached the end of the lease less a margin. Makes no call.
     */
    public fun current(): FencingNumber? = fencing.takeIf { age() < leaseLength - margin }

    /**
     * Renews the lease when a third of it has passed, or tries to become owner while no node is. A node that is not
     * owner makes one read per half lease, because each call to the service counts.
     */
    public fun renew(): Either<Failure, FencingNumber?> {
        val held = lease
        return when {
            held != null && fencing != null ->
                if (age() * RENEWALS_PER_LEASE < leaseLength) current().right() else keepAlive(held).map { current() }

            lastAttemptNanos?.let { clock.elapsedSince(it) < timeToLive / ATTEMPTS_PER_LEASE } ?: false -> null.right()

            else -> attempt()
        }
    }

    /** Gives the ownership up. */
    public fun release(): Either<Failure, Unit> {
        val held = lease ?: return Unit.right()
        forget()
        return keyValue.revokeLease(held)
    }

    private fun attempt(): Either<Failure, FencingNumber?> {
        lastAttemptNanos = clock.monotonicNanos()
        if (lease != null && age() >= leaseLength) forget()
        return keyValue.get(key).flatMap { entry ->
            when {
                entry != null -> adopt(entry).right()
                lease == null -> grant().flatMap { acquire() }
                else -> acquire()
            }
        }
    }

    private fun grant(): Either<Failure, Unit> {
        val sent = clock.monotonicNanos()
        return keyValue.grantLease(timeToLive).map { granted ->
            lease = granted
            leaseSentNanos = sent
            leaseLength = timeToLive
        }
    }

    private fun keepAlive(held: LeaseId): Either<Failure, Unit> {
        val sent = clock.monotonicNanos()
        return keyValue.keepAlive(held).fold(
            { failure ->
                if (failure is Failure.LeaseExpired) forget()
                failure.left()
            },
            { length ->
                leaseSentNanos = sent
                leaseLength = length
                Unit.right()
            },
        )
    }

    private fun acquire(): Either<Failure, FencingNumber?> {
        val create = Transaction(listOf(Compare.Absent(key)), listOf(Operation.Put(key, node.value, lease)))
        val failure = keyValue.transact(create).leftOrNull()
        if (failure != null && failure !is Failure.OutcomeUnknown) {
            if (failure is Failure.LeaseExpired) forget()
            return failure.left()
        }
        // Reading back resolves a lost answer: the record names the lease, which no other node has.
        return keyValue.get(key).map { entry -> entry?.let(::adopt) }
    }

    private fun adopt(entry: KeyValueEntry): FencingNumber? {
        fencing = FencingNumber(entry.createRevision.value).takeIf { lease != null && entry.lease == lease }
        return current()
    }

    private fun forget() {
        lease = null
        fencing = null
    }

    private fun age(): Duration = clock.elapsedSince(leaseSentNanos)

    private companion object {
        const val RENEWALS_PER_LEASE = 3
        const val ATTEMPTS_PER_LEASE = 2
    }
}
