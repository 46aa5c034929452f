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
 * Admission of one node: rate first, then the fair queue, then a concurrency place. For one thread; takes the time from
 * [clock] only. Tokens are reserved when the request arrives and returned when it is refused or cancelled later.
 */
public class AdmissionState(
    private var configuration: OperatorConfiguration,
    private val shares: RateShares,
    private val clock: Clock,
    queueCapacity: Int = DEFAULT_QUEUE_CAPACITY,
    private var concurrencyLimit: Int = DEFAULT_CONCURRENCY_LIMIT,
    private val onSettle: (Admitted, Long) -> Unit,
) {
    private class Pending(
        val request: AdmissionRequest,
        val reservation: RateReservation?,
        val onDecision: (Either<Failure, Admitted>) -> Unit,
    )

    private class Counters {
        var admitted = 0L
        var refused = 0L
    }

    private val queue = FairQueue<Pending>(queueCapacity)
    private val queued = HashMap<RequestId, QueuedRequest<Pending>>()
    private val counters = HashMap<TeamId?, Counters>()
    private val service = ServiceMeter()
    private var running = 0

    /** Follows a new configuration; queued requests of a removed team fail their recheck or keep their place. */
    public fun applyConfiguration(applied: OperatorConfiguration) {
        configuration = applied
        counters.keys.retainAll { it == null || it in applied.teams }
        shares.applyConfiguration(applied)
    }

    /** Changes the number of requests that may run at the same time; running ones are not interrupted. */
    public fun limitConcurrency(limit: Int) {
        concurrencyLimit = limit
        dispatch()
    }

    /** Decides on [request] now or in its turn. [onDecision] is called once, unless the request is cancelled. */
    public fun submit(request: AdmissionRequest, onDecision: (Either<Failure, Admitted>) -> Unit) {
        val now = clock.monotonicNanos()
        val reservation = request.team?.let { team ->
            shares.reserve(team, request.estimatedTokens).fold({ return refuse(request, it, onDecision) }, { it })
        }
        val pending = Pending(request, reservation, onDecision)
        val wait = predictedWait(request)
        if (now + wait.inWholeNanoseconds >= request.deadlineNanos) return refuseLate(pending, wait)
        val entry = QueuedRequest(pending, request.team, request.estimatedTokens, request.deadlineNanos)
        queued[request.requestId] = entry
        queue.add(entry, weight(request.team))?.let { refuseQueued(it, "the queue is full") }
        dispatch()
    }

    /** Takes a queued request out; no decision is delivered for it. Returns false when it is no longer queued. */
    public fun cancel(requestId: RequestId): Boolean {
        val entry = queued.remove(requestId) ?: return false
        queue.remove(entry)
        entry.value.reservation?.let { shares.settle(it, 0) }
        return true
    }

    /** Carries out [Admitted.settle]. */
    public fun settle(admitted: Admitted, actualTokens: Long) {
        running--
        admitted.reservation?.let { shares.settle(it, actualTokens) }
        // A request that did not run says nothing about the speed of service.
        if (actualTokens > 0) service.ended(admitted.estimatedTokens, clock.monotonicNanos() - admitted.admittedNanos)
        dispatch()
    }

    /** Refuses queued requests whose deadline has passed. */
    public fun tick() {
        queue.removeExpired(clock.monotonicNanos()).forEach { refuseQueued(it, "the deadline passed in the queue") }
    }

    /** An immutable copy of the state. */
    public fun snapshot(): AdmissionSnapshot = AdmissionSnapshot(
        queueLength = queue.size,
        running = running,
        concurrencyLimit = concurrencyLimit,
        teams = counters.entries.sortedBy { it.key?.value.orEmpty() }
            .map { (team, counts) ->
                TeamAdmissionSnapshot(team, counts.admitted, counts.refused, queue.waiting(team))
            },
        rates = shares.snapshots(),
    )

    private fun dispatch() {
        while (running < concurrencyLimit) {
            val entry = queue.poll() ?: return
            queued.remove(entry.value.request.requestId, entry)
            val now = clock.monotonicNanos()
            if (entry.deadlineNanos <= now) {
                refuseQueued(entry, "the deadline passed in the queue")
            } else {
                entry.value.request.recheck().fold({ withdraw(entry.value, it) }, { admit(entry.value, now) })
            }
        }
    }

    private fun admit(pending: Pending, nowNanos: Long) {
        val request = pending.request
        running++
        counters(request.team).admitted++
        val admitted = Admitted(
            request.requestId,
            request.team,
            pending.reservation,
            request.estimatedTokens,
            nowNanos,
            onSettle,
        )
        pending.onDecision(admitted.right())
    }

    private fun predictedWait(request: AdmissionRequest): Duration {
        if (running < concurrencyLimit && queue.size == 0) return Duration.ZERO
        val ahead = queue.tokensAhead(request.team, weight(request.team))
        return service.predictedNanos(ahead, concurrencyLimit).nanoseconds
    }

    private fun refuseLate(pending: Pending, wait: Duration) {
        withdraw(pending, Failure.Overloaded("the deadline cannot be met", maxOf(wait, SHORTEST_RETRY)))
    }

    private fun refuseQueued(entry: QueuedRequest<Pending>, reason: String) {
        queued.remove(entry.value.request.requestId, entry)
        withdraw(entry.value, Failure.Overloaded(reason))
    }

    private fun withdraw(pending: Pending, failure: Failure) {
        pending.reservation?.let { shares.settle(it, 0) }
        refuse(pending.request, failure, pending.onDecision)
    }

    private fun refuse(request: AdmissionRequest, failure: Failure, onDecision: (Either<Failure, Admitted>) -> Unit) {
        counters(request.team).refused++
        onDecision(failure.left())
    }

    private fun counters(team: TeamId?): Counters = counters.getOrPut(team) { Counters() }

    private fun weight(team: TeamId?): Int = team?.let { configuration.teams[it] }?.weight?.coerceAtLeast(1) ?: 1

    private companion object {
        val SHORTEST_RETRY = 100.milliseconds
    }
}
