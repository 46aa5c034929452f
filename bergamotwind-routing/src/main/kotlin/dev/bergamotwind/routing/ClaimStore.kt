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
 * Claims for calls with an Idempotency-Key on routes that are not idempotent. A claim record is never taken over: it
 * ends only by its holder's release or by the end of retention, so a repeat never causes a second run, whether or not
 * the holder is alive. Calls block on the key-value service. Safe for use by several threads. Source: design page,
 * section 4.4.
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
    private val presence = ClaimPresence(service, clock, ClaimKeys.holder(vm.value, incarnation))
    private val unsettled = ArrayBlockingQueue<UnsettledClaim>(UNSETTLED_CLAIM_LIMIT)
    private val claims = AtomicLong()

    /** Number of claim writes that wait for [maintain]. */
    public val unsettledCount: Int get() = unsettled.size

    /**
     * Claims the call with [idempotencyKey]. [bodyDigest] must cover all that makes the call (method, path, query and
     * body). Every failure means that nothing was sent for [request]:
     * - [Failure.AlreadyClaimed] `in_progress`, `unknown`, or `already_run` when the body of the answer was not kept;
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
        if (idempotencyKey.isEmpty() || idempotencyKey.length > IDEMPOTENCY_KEY_LIMIT_CHARACTERS) return invalidKey()
        val key = ClaimKeys.claim(team, route, idempotencyKey)
        val record = ClaimRecord("$incarnation/${claims.incrementAndGet()}", presence.key, request, bodyDigest)
        presence.claiming()
        val claimedNanos = clock.monotonicNanos()
        return create(key, record).flatMap { stored ->
            if (stored.record.number == record.number) {
                ClaimOutcome.Acquired(Claim(key, record, stored.created, claimedNanos, clock, monitor)).right()
            } else {
                repeated(stored.record, bodyDigest)
            }
        }
    }

    /** Records [answer] for repeats. An answer that cannot be written now is written by [maintain]. */
    public fun complete(claim: Claim, answer: RecordedAnswer): Unit =
        replace(claim, claim.record.copy(state = ClaimState.DONE, answer = answer))

    /** Records that the outcome of the call cannot be known. */
    public fun markUnknown(claim: Claim): Unit = replace(claim, claim.record.copy(state = ClaimState.UNKNOWN))

    /** Gives up a claim under which certainly nothing was sent; a repeat may then run. */
    public fun release(claim: Claim) {
        if (claim.endUnsent()) settle(UnsettledClaim.Removal(claim.key, claim.record))
    }

    /** Renews the presence record and repeats writes that failed. To be called about once a second. */
    public fun maintain() {
        presence.maintain()
        repeat(unsettled.size) { unsettled.poll()?.let(::settle) }
    }

    /** Repeats writes that failed and ends the presence record. Claim records stay until the end of retention. */
    override fun close() {
        repeat(unsettled.size) { unsettled.poll()?.let(::settle) }
        presence.close()
    }

    private fun create(key: String, record: ClaimRecord): Either<Failure, ClaimRecords.Stored> =
        attempt(key, record).fold(
            // A lease that the service has dropped means that nothing was written under it.
            { failure -> if (failure is Failure.LeaseExpired) attempt(key, record) else failure.left() },
            { it.right() },
        ).mapLeft { failure ->
            if (failure is Failure.OutcomeUnknown) defer(UnsettledClaim.Removal(key, record))
            Failure.Unavailable("no claim could be made: ${failure.message}", code = "claim_unavailable")
        }

    private fun attempt(key: String, record: ClaimRecord): Either<Failure, ClaimRecords.Stored> =
        leases.current().flatMap { lease ->
            records.create(key, record, lease).onLeft { if (it is Failure.LeaseExpired) leases.forget(lease) }
        }

    private fun repeated(record: ClaimRecord, bodyDigest: String): Either<Failure, ClaimOutcome> {
        val answer = record.answer
        return when {
            record.bodyDigest != bodyDigest -> bodyDiffers()

            record.state == ClaimState.UNKNOWN -> unknown(record)

            answer?.bodyBase64 != null -> ClaimOutcome.AlreadyDone(answer).right()

            answer != null -> alreadyRun(record, answer)

            // If the presence cannot be read, the caller is asked to repeat, which is harmless.
            presence.isAlive(record.holder).fold({ true }, { it }) -> inProgress(record)

            else -> unknown(record)
        }
    }

    private fun replace(claim: Claim, record: ClaimRecord) {
        // An older write of the same claim that still waits would later undo this one.
        unsettled.removeIf { it is UnsettledClaim.Replacement && it.record.number == record.number }
        settle(UnsettledClaim.Replacement(claim.key, claim.created, record))
    }

    private fun settle(write: UnsettledClaim) {
        val result = when (write) {
            is UnsettledClaim.Removal -> records.delete(write.key, write.record)

            is UnsettledClaim.Replacement -> leases.current().flatMap { lease ->
                records.replace(write.key, write.created, write.record, lease).onLeft {
                    if (it is Failure.LeaseExpired) leases.forget(lease)
                }
            }
        }
        result.fold({ defer(write) }, { applied ->
            if (!applied &&
                write is UnsettledClaim.Replacement
            ) {
                restore(write)
            }
        })
    }

    /**
     * The claim of a call that was sent is gone, so a second run has become possible. Restores the record if no other
     * claim was made meanwhile.
     */
    private fun restore(write: UnsettledClaim.Replacement) {
        val stored = leases.current().flatMap { records.create(write.key, write.record, it) }
        stored.fold({ defer(write) }) {
            monitor.check(Invariant.AT_MOST_ONCE, it.record.number == write.record.number) {
                "request=${write.record.request} claim=lost other=${it.record.request}"
            }
        }
    }

    private fun defer(write: UnsettledClaim) {
        while (!unsettled.offer(write)) unsettled.poll()
    }

    private fun invalidKey() = Failure.Invalid(
        "the Idempotency-Key has no characters or more than $IDEMPOTENCY_KEY_LIMIT_CHARACTERS",
        "Send a shorter unique Idempotency-Key.",
    ).left()

    private fun bodyDiffers() = Failure.Invalid(
        "the Idempotency-Key was used for a call with another body",
        "Use a new Idempotency-Key for each distinct call.",
        status = 422,
        code = "idempotency_key_reused",
    ).left()

    private fun inProgress(record: ClaimRecord) = Failure.AlreadyClaimed(
        "in_progress",
        "request ${record.request} with this Idempotency-Key is in progress",
        RunOutcome.UNKNOWN,
        IN_PROGRESS_RETRY_AFTER,
    ).left()

    private fun unknown(record: ClaimRecord) = Failure.AlreadyClaimed(
        "unknown",
        "the outcome of request ${record.request} with this Idempotency-Key is unknown",
        RunOutcome.UNKNOWN,
        null,
    ).left()

    private fun alreadyRun(record: ClaimRecord, answer: RecordedAnswer) = Failure.AlreadyClaimed(
        "already_run",
        "request ${record.request} with this Idempotency-Key was answered with status ${answer.status}; " +
            "the body was too large to keep",
        RunOutcome.RUN,
        null,
    ).left()
}
