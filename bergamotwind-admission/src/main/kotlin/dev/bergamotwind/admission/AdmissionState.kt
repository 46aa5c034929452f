package dev.bergamotwind.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.configuration.OperatorConfiguration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Admission logic of one node: the rate limit first, then the fair queue, then the concurrency limit. Not thread-safe;
 * reads the time from [clock] only. Tokens are reserved when the request arrives and refunded when it is refused or
 * cancelled later.
 */
public class AdmissionState(
    private var configuration: OperatorConfiguration,
    private val rateLimiter: TeamRateLimiter,
    private val clock: Clock,
    queueCapacity: Int = DEFAULT_QUEUE_CAPACITY,
    private var concurrencyLimit: Int = DEFAULT_CONCURRENCY_LIMIT,
    private val onSettle: (AdmittedRequest, Long) -> Unit,
) {
    private class PendingRequest(
        val request: AdmissionRequest,
        val reservation: RateReservation?,
        val onDecision: (Either<Failure, AdmittedRequest>) -> Unit,
    )

    private class DecisionCounters {
        var admitted = 0L
        var refused = 0L
    }

    private val queue = FairQueue<PendingRequest>(queueCapacity)
    private val queuedById = HashMap<RequestId, QueuedRequest<PendingRequest>>()
    private val countersByTeam = HashMap<TeamId?, DecisionCounters>()
    private val serviceRate = ServiceRateEstimator()
    private var running = 0

    /** Switches to a new configuration; queued requests of a removed team fail reauthorization or stay queued. */
    public fun applyConfiguration(applied: OperatorConfiguration) {
        configuration = applied
        countersByTeam.keys.retainAll { it == null || it in applied.teams }
        rateLimiter.applyConfiguration(applied)
    }

    /** Changes the number of requests that may run concurrently; running requests are not interrupted. */
    public fun setConcurrencyLimit(limit: Int) {
        concurrencyLimit = limit
        dispatch()
    }

    /** Refuses, admits or queues [request]. [onDecision] is called once, unless the request is cancelled. */
    public fun submit(request: AdmissionRequest, onDecision: (Either<Failure, AdmittedRequest>) -> Unit) {
        val now = clock.monotonicNanos()
        val reservation = request.team?.let { team ->
            rateLimiter.reserve(team, request.estimatedTokens).fold({ return refuse(request, it, onDecision) }, { it })
        }
        val pending = PendingRequest(request, reservation, onDecision)
        val estimatedWait = estimateWait(request)
        if (now + estimatedWait.inWholeNanoseconds >= request.deadlineNanos) {
            return refuseUnmeetableDeadline(pending, estimatedWait)
        }
        val entry = QueuedRequest(pending, request.team, request.estimatedTokens, request.deadlineNanos)
        queuedById[request.requestId] = entry
        queue.add(entry, weightOf(request.team))?.let { refuseQueued(it, "the queue is full") }
        dispatch()
    }

    /** Removes a queued request; no decision is delivered for it. Returns false when it is no longer queued. */
    public fun cancel(requestId: RequestId): Boolean {
        val entry = queuedById.remove(requestId) ?: return false
        queue.remove(entry)
        entry.value.reservation?.let { rateLimiter.settle(it, 0) }
        return true
    }

    /** Frees the concurrency permit of [admitted] and settles its tokens; called through [AdmittedRequest.settle]. */
    public fun settle(admitted: AdmittedRequest, actualTokens: Long) {
        running--
        admitted.reservation?.let { rateLimiter.settle(it, actualTokens) }
        // A request that did not run contributes nothing to the estimated service rate.
        if (actualTokens > 0) {
            serviceRate.recordCompletion(admitted.estimatedTokens, clock.monotonicNanos() - admitted.admittedNanos)
        }
        dispatch()
    }

    /** Refuses queued requests whose deadline has passed. */
    public fun refuseExpired() {
        queue.removeExpired(clock.monotonicNanos()).forEach { refuseQueued(it, "the deadline passed in the queue") }
    }

    /** Returns an immutable snapshot of the current state. */
    public fun snapshot(): AdmissionSnapshot = AdmissionSnapshot(
        queueLength = queue.size,
        running = running,
        concurrencyLimit = concurrencyLimit,
        teams = countersByTeam.entries.sortedBy { it.key?.value.orEmpty() }
            .map { (team, counts) ->
                TeamAdmissionSnapshot(team, counts.admitted, counts.refused, queue.queuedCount(team))
            },
        rates = rateLimiter.snapshots(),
    )

    private fun dispatch() {
        while (running < concurrencyLimit) {
            val entry = queue.poll() ?: return
            queuedById.remove(entry.value.request.requestId, entry)
            val now = clock.monotonicNanos()
            if (entry.deadlineNanos <= now) {
                refuseQueued(entry, "the deadline passed in the queue")
            } else {
                entry.value.request.reauthorize()
                    .fold({ refundAndRefuse(entry.value, it) }, { admit(entry.value, now) })
            }
        }
    }

    private fun admit(pending: PendingRequest, nowNanos: Long) {
        val request = pending.request
        running++
        countersOf(request.team).admitted++
        val admitted = AdmittedRequest(
            request.requestId,
            request.team,
            pending.reservation,
            request.estimatedTokens,
            nowNanos,
            onSettle,
        )
        pending.onDecision(admitted.right())
    }

    private fun estimateWait(request: AdmissionRequest): Duration {
        if (running < concurrencyLimit && queue.size == 0) return Duration.ZERO
        val tokensAhead = queue.tokensAhead(request.team, weightOf(request.team))
        return serviceRate.estimateWaitNanos(tokensAhead, concurrencyLimit).nanoseconds
    }

    private fun refuseUnmeetableDeadline(pending: PendingRequest, estimatedWait: Duration) {
        val retryAfter = maxOf(estimatedWait, MINIMUM_RETRY_AFTER)
        refundAndRefuse(pending, Failure.Overloaded("the deadline cannot be met", retryAfter))
    }

    private fun refuseQueued(entry: QueuedRequest<PendingRequest>, reason: String) {
        queuedById.remove(entry.value.request.requestId, entry)
        refundAndRefuse(entry.value, Failure.Overloaded(reason))
    }

    private fun refundAndRefuse(pending: PendingRequest, failure: Failure) {
        pending.reservation?.let { rateLimiter.settle(it, 0) }
        refuse(pending.request, failure, pending.onDecision)
    }

    private fun refuse(
        request: AdmissionRequest,
        failure: Failure,
        onDecision: (Either<Failure, AdmittedRequest>) -> Unit,
    ) {
        countersOf(request.team).refused++
        onDecision(failure.left())
    }

    private fun countersOf(team: TeamId?): DecisionCounters = countersByTeam.getOrPut(team) { DecisionCounters() }

    private fun weightOf(team: TeamId?): Int = team?.let { configuration.teams[it] }?.weight?.coerceAtLeast(1) ?: 1

    private companion object {
        val MINIMUM_RETRY_AFTER = 100.milliseconds
    }
}
