package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.SystemClock
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import java.util.UUID
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/**
 * Claims for calls with an Idempotency-Key on routes that are not idempotent. Another process never takes over a claim
 * record: the record ends only when its holder releases it or its retention expires, so a repeated call never causes a
 * second execution, whether or not the holder is alive. Calls block on the key-value service. Thread-safe. Source:
 * design page, section 4.4.
 */
public class ClaimStore(
    service: KeyValueService,
    vm: VmId,
    private val clock: Clock = SystemClock,
    private val monitor: InvariantMonitor,
    private val incarnation: String = UUID.randomUUID().toString(),
) : AutoCloseable {
    private val records = ClaimRecords(service)
    private val leases = ClaimLeases(service, clock)
    private val presence = ClaimPresence(service, clock, ClaimKeys.presenceKey(vm.value, incarnation))
    private val pendingWrites = ArrayBlockingQueue<PendingClaimWrite>(PENDING_CLAIM_WRITE_LIMIT)
    private val claimCounter = AtomicLong()

    /** Number of claim writes that [renewPresenceAndRetryWrites] will retry. */
    public val pendingWriteCount: Int get() = pendingWrites.size

    /**
     * Claims the call with [idempotencyKey]. [bodyDigest] must cover everything that defines the call (method, path,
     * query and body). Every failure means that nothing was sent for [request]:
     * - [Failure.AlreadyClaimed] `in_progress`, `unknown`, or `already_run` when the body of the answer was not stored;
     * - [Failure.Invalid] with status 422 when the first call under this key had another body;
     * - [Failure.Unavailable] when no claim could be made.
     */
    public fun claim(
        team: TeamId,
        route: RouteId,
        idempotencyKey: String,
        bodyDigest: String,
        request: RequestId,
    ): Either<Failure, ClaimOutcome> {
        if (idempotencyKey.isEmpty() || idempotencyKey.length > IDEMPOTENCY_KEY_LIMIT_CHARACTERS) {
            return invalidKeyFailure()
        }
        val key = ClaimKeys.claimKey(team, route, idempotencyKey)
        val record = ClaimRecord("$incarnation/${claimCounter.incrementAndGet()}", presence.key, request, bodyDigest)
        presence.recordClaim()
        val claimedNanos = clock.monotonicNanos()
        return createRecord(key, record).flatMap { stored ->
            if (stored.record.number == record.number) {
                ClaimOutcome.Acquired(Claim(key, record, stored.created, claimedNanos, clock, monitor)).right()
            } else {
                resultOfRepeat(stored.record, bodyDigest)
            }
        }
    }

    /** Records [answer] for repeated calls. If the write fails, [renewPresenceAndRetryWrites] retries it. */
    public fun complete(claim: Claim, answer: RecordedAnswer): Unit =
        replaceRecord(claim, claim.record.copy(state = ClaimState.DONE, answer = answer))

    /** Records that the outcome of the call cannot be known. */
    public fun markUnknown(claim: Claim): Unit = replaceRecord(claim, claim.record.copy(state = ClaimState.UNKNOWN))

    /** Releases a claim under which certainly nothing was sent; a repeated call may then run. */
    public fun release(claim: Claim) {
        if (claim.endIfUnsent()) applyWrite(PendingClaimWrite.Delete(claim.key, claim.record))
    }

    /** Renews the presence record and retries writes that failed. Must be called about once a second. */
    public fun renewPresenceAndRetryWrites() {
        presence.renewIfDue()
        repeat(pendingWrites.size) { pendingWrites.poll()?.let(::applyWrite) }
    }

    /** Retries writes that failed and ends the presence record. Claim records stay until their retention expires. */
    override fun close() {
        repeat(pendingWrites.size) { pendingWrites.poll()?.let(::applyWrite) }
        presence.close()
    }

    private fun createRecord(key: String, record: ClaimRecord): Either<Failure, ClaimRecords.StoredClaim> =
        createUnderLease(key, record).fold(
            // With an expired lease nothing was written, so the claim may be made again under a new lease.
            { failure -> if (failure is Failure.LeaseExpired) createUnderLease(key, record) else failure.left() },
            { it.right() },
        ).mapLeft { failure ->
            if (failure is Failure.OutcomeUnknown) enqueueWrite(PendingClaimWrite.Delete(key, record))
            Failure.Unavailable("no claim could be made: ${failure.message}", code = "claim_unavailable")
        }

    private fun createUnderLease(key: String, record: ClaimRecord): Either<Failure, ClaimRecords.StoredClaim> =
        leases.currentLease().flatMap { lease ->
            records.create(key, record, lease).onLeft { if (it is Failure.LeaseExpired) leases.invalidate(lease) }
        }

    private fun resultOfRepeat(record: ClaimRecord, bodyDigest: String): Either<Failure, ClaimOutcome> {
        val answer = record.answer
        return when {
            record.bodyDigest != bodyDigest -> bodyDiffersFailure()

            record.state == ClaimState.UNKNOWN -> unknownOutcomeFailure(record)

            answer?.bodyBase64 != null -> ClaimOutcome.AlreadyDone(answer).right()

            answer != null -> alreadyRunFailure(record, answer)

            // If the presence record cannot be read, the caller is told to retry later, which is harmless.
            presence.isAlive(record.holder).fold({ true }, { it }) -> inProgressFailure(record)

            else -> unknownOutcomeFailure(record)
        }
    }

    private fun replaceRecord(claim: Claim, record: ClaimRecord) {
        // An older write of the same claim that is still queued would overwrite this one later.
        pendingWrites.removeIf { it is PendingClaimWrite.Replace && it.record.number == record.number }
        applyWrite(PendingClaimWrite.Replace(claim.key, claim.created, record))
    }

    private fun applyWrite(write: PendingClaimWrite) {
        val result = when (write) {
            is PendingClaimWrite.Delete -> records.delete(write.key, write.record)

            is PendingClaimWrite.Replace -> leases.currentLease().flatMap { lease ->
                records.replace(write.key, write.created, write.record, lease).onLeft {
                    if (it is Failure.LeaseExpired) leases.invalidate(lease)
                }
            }
        }
        result.fold({ enqueueWrite(write) }, { applied ->
            if (!applied && write is PendingClaimWrite.Replace) restoreRecord(write)
        })
    }

    /**
     * Handles the loss of the claim record of a call that was sent, which makes a second execution possible: creates
     * the record again unless another claim was made in the meantime.
     */
    private fun restoreRecord(write: PendingClaimWrite.Replace) {
        val stored = leases.currentLease().flatMap { records.create(write.key, write.record, it) }
        stored.fold({ enqueueWrite(write) }) {
            monitor.check(Invariant.AT_MOST_ONCE, it.record.number == write.record.number) {
                "request=${write.record.request} claim=lost other=${it.record.request}"
            }
        }
    }

    private fun enqueueWrite(write: PendingClaimWrite) {
        while (!pendingWrites.offer(write)) pendingWrites.poll()
    }

    private fun invalidKeyFailure() = Failure.Invalid(
        "the Idempotency-Key has no characters or more than $IDEMPOTENCY_KEY_LIMIT_CHARACTERS",
        "Send a shorter unique Idempotency-Key.",
    ).left()

    private fun bodyDiffersFailure() = Failure.Invalid(
        "the Idempotency-Key was used for a call with another body",
        "Use a new Idempotency-Key for each distinct call.",
        status = 422,
        code = "idempotency_key_reused",
    ).left()

    private fun inProgressFailure(record: ClaimRecord) = Failure.AlreadyClaimed(
        "in_progress",
        "request ${record.request} with this Idempotency-Key is in progress",
        RunOutcome.UNKNOWN,
        IN_PROGRESS_RETRY_AFTER,
    ).left()

    private fun unknownOutcomeFailure(record: ClaimRecord) = Failure.AlreadyClaimed(
        "unknown",
        "the outcome of request ${record.request} with this Idempotency-Key is unknown",
        RunOutcome.UNKNOWN,
        null,
    ).left()

    private fun alreadyRunFailure(record: ClaimRecord, answer: RecordedAnswer) = Failure.AlreadyClaimed(
        "already_run",
        "request ${record.request} with this Idempotency-Key was answered with status ${answer.status}; " +
            "the body was too large to keep",
        RunOutcome.RUN,
        null,
    ).left()
}
