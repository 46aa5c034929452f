package dev.bergamotwind.routing

import dev.bergamotwind.api.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Knows which attempts may answer a request. Of several open attempts, the first to answer wins; what the others send
 * is late. Safe for use by several threads.
 */
public class AttemptRegistry {
    private data class Attempts(val last: Int, val open: Set<Int>, val winner: Int?)

    private val requests = ConcurrentHashMap<RequestId, Attempts>()
    private val late = AtomicLong()
    private val crossed = AtomicLong()

    /** Answers discarded because their attempt had ended or lost. */
    public val lateCount: Long get() = late.get()

    /** Answers discarded because they carried the id of another attempt. */
    public val crossedCount: Long get() = crossed.get()

    /** Number of requests with attempts. */
    public val size: Int get() = requests.size

    /** Opens the next attempt of [request]. */
    public fun open(request: RequestId): AttemptId {
        val attempts = requests.compute(request) { _, known ->
            val number = (known?.last ?: 0) + 1
            Attempts(number, known?.open.orEmpty() + number, known?.winner)
        }
        return AttemptId(request, checkNotNull(attempts).last)
    }

    /**
     * Whether a part of an answer received for [attempt] may go to the caller. [echoed] is the attempt id that the
     * target sent along, or null if it sends none.
     */
    public fun accept(attempt: AttemptId, echoed: String? = null): Boolean {
        if (echoed != null && echoed != attempt.toString()) {
            crossed.incrementAndGet()
            return false
        }
        val attempts = requests.computeIfPresent(attempt.request) { _, known ->
            if (known.winner == null && attempt.number in known.open) known.copy(winner = attempt.number) else known
        }
        val accepted = attempts?.winner == attempt.number
        if (!accepted) late.incrementAndGet()
        return accepted
    }

    /** The attempt ended without a whole answer; another one may answer. */
    public fun broken(attempt: AttemptId) {
        requests.computeIfPresent(attempt.request) { _, known ->
            known.copy(open = known.open - attempt.number, winner = known.winner.takeIf { it != attempt.number })
        }
    }

    /** The request ended; whatever still arrives for it is late. */
    public fun ended(request: RequestId) {
        requests.remove(request)
    }
}
