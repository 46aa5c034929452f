package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId
import kotlin.math.max
import kotlin.math.min

/**
 * A bounded queue that is fair by team in tokens: start-time fair queueing. A team's next request starts, in virtual
 * time, at the virtual finish time of its previous one, or now if the team was idle; the earliest start is served
 * first. Finish times advance by tokens / weight, so backlogged teams are served tokens in proportion to their weights.
 *
 * Tags exist only for the request at the head of each team. A cancelled request therefore leaves no gap that its team
 * would pay for. When the queue is full, the last request of the team with the largest backlog by weight gives way, so
 * that one team cannot fill the queue. For one thread.
 */
public class FairQueue<T>(private val capacity: Int = DEFAULT_QUEUE_CAPACITY) {
    private class Flow<T>(val team: TeamId?, var weight: Int) {
        val requests = ArrayDeque<QueuedRequest<T>>()
        var tokens = 0L
        var finish = 0.0
        var start = 0.0
    }

    private val flows = HashMap<TeamId?, Flow<T>>()
    private var virtualTime = 0.0

    /** Requests in the queue. */
    public var size: Int = 0
        private set

    /** Requests of [team] in the queue. */
    public fun waiting(team: TeamId?): Int = flows[team]?.requests?.size ?: 0

    /** Tokens that a new request of [team] would find ahead of it, given fair service, without its own. */
    public fun tokensAhead(team: TeamId?, weight: Int): Double {
        val own = flows[team]
        val ownTokens = own?.tokens ?: 0
        val start = (own?.let(::nextStart) ?: virtualTime) + ownTokens.toDouble() / weight
        var ahead = ownTokens.toDouble()
        for (flow in flows.values) {
            if (flow === own || flow.requests.isEmpty()) continue
            ahead += min(flow.tokens.toDouble(), max(0.0, start - flow.start) * flow.weight)
        }
        return ahead
    }

    /**
     * Adds a request of [team] with [weight]. Returns the request that gave way, which is the new one when its team
     * has the largest backlog itself, or null.
     */
    public fun add(request: QueuedRequest<T>, weight: Int): QueuedRequest<T>? {
        val flow = flows.getOrPut(request.team) { Flow(request.team, weight) }
        flow.weight = max(1, weight)
        if (flow.requests.isEmpty()) flow.start = nextStart(flow)
        flow.requests.addLast(request)
        flow.tokens += request.tokens
        request.queued = true
        size++
        if (size <= capacity) return null
        val largest = flows.values.filter { it.requests.isNotEmpty() }.maxBy { it.tokens.toDouble() / it.weight }
        return largest.requests.last().also(::remove)
    }

    /** Removes and returns the request whose turn it is, or null when the queue is empty. */
    public fun poll(): QueuedRequest<T>? {
        val flow = flows.values.filter { it.requests.isNotEmpty() }.minWithOrNull(ORDER) ?: return null
        val request = flow.requests.removeFirst()
        flow.tokens -= request.tokens
        size--
        request.queued = false
        virtualTime = max(virtualTime, flow.start)
        flow.finish = flow.start + request.tokens.toDouble() / flow.weight
        flow.start = flow.finish
        forgetIdle()
        return request
    }

    /** Takes [request] out before its turn. Returns false when it is no longer queued. */
    public fun remove(request: QueuedRequest<T>): Boolean {
        if (!request.queued) return false
        val flow = flows.getValue(request.team)
        flow.requests.remove(request)
        flow.tokens -= request.tokens
        request.queued = false
        size--
        return true
    }

    /** Takes out all requests whose deadline is not after [nowNanos]. */
    public fun removeExpired(nowNanos: Long): List<QueuedRequest<T>> =
        flows.values.flatMap { flow -> flow.requests.filter { it.deadlineNanos <= nowNanos } }.onEach(::remove)

    private fun nextStart(flow: Flow<T>): Double =
        if (flow.requests.isEmpty()) max(virtualTime, flow.finish) else flow.start

    // A flow whose finish time has passed is as good as new; keeping it would hold memory for every team ever seen.
    private fun forgetIdle() {
        if (flows.size <= IDLE_FLOWS_KEPT) return
        flows.values.removeIf { it.requests.isEmpty() && it.finish <= virtualTime }
    }

    private companion object {
        const val IDLE_FLOWS_KEPT = 64
        val ORDER = compareBy<Flow<*>>({ it.start }, { it.team?.value.orEmpty() })
    }
}
