package dev.bergamotwind.routing

import dev.bergamotwind.api.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Tracks which attempt of each request may answer. Of several open attempts, the first to answer wins; answers of the
 * others are late. Thread-safe.
 */
public class AttemptRegistry {
    private data class Attempts(val lastNumber: Int, val openNumbers: Set<Int>, val winner: Int?)

    private val requests = ConcurrentHashMap<RequestId, Attempts>()
    private val lateAnswers = AtomicLong()
    private val mismatchedAnswers = AtomicLong()

    /** Number of answers discarded because their attempt had ended or another attempt had answered first. */
    public val lateCount: Long get() = lateAnswers.get()

    /** Number of answers discarded because they carried the id of another attempt. */
    public val mismatchedCount: Long get() = mismatchedAnswers.get()

    /** Number of tracked requests. */
    public val size: Int get() = requests.size

    /** Opens the next attempt of [request]. */
    public fun openAttempt(request: RequestId): AttemptId {
        val attempts = requests.compute(request) { _, current ->
            val number = (current?.lastNumber ?: 0) + 1
            Attempts(number, current?.openNumbers.orEmpty() + number, current?.winner)
        }
        return AttemptId(request, checkNotNull(attempts).lastNumber)
    }

    /**
     * Returns whether a part of an answer received for [attempt] may be sent to the caller. [echoedId] is the attempt
     * id that the target returned with the answer, or null if it returns none.
     */
    public fun acceptAnswer(attempt: AttemptId, echoedId: String? = null): Boolean {
        if (echoedId != null && echoedId != attempt.toString()) {
            mismatchedAnswers.incrementAndGet()
            return false
        }
        val attempts = requests.computeIfPresent(attempt.request) { _, current ->
            val wins = current.winner == null && attempt.number in current.openNumbers
            if (wins) current.copy(winner = attempt.number) else current
        }
        val accepted = attempts?.winner == attempt.number
        if (!accepted) lateAnswers.incrementAndGet()
        return accepted
    }

    /** Records that the attempt ended without a whole answer, so that another one may answer. */
    public fun markFailed(attempt: AttemptId) {
        requests.computeIfPresent(attempt.request) { _, current ->
            val winner = current.winner.takeIf { it != attempt.number }
            current.copy(openNumbers = current.openNumbers - attempt.number, winner = winner)
        }
    }

    /** Removes a request that has ended; answers that still arrive for it are late. */
    public fun removeRequest(request: RequestId) {
        requests.remove(request)
    }
}
