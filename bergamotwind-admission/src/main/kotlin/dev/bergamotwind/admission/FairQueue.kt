package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId
import kotlin.math.max
import kotlin.math.min

/**
 * A bounded queue with start-time fair queueing: each team is a flow, and a request costs its number of tokens. The
 * start tag of a team's next request is the finish tag of its previous one, or the current virtual time if the team was
 * idle; the request with the lowest start tag is served first. Finish tags advance by tokens / weight, so backlogged
 * teams are served tokens in proportion to their weights.
 *
 * Only the request at the head of each flow has tags, so a cancelled request costs its team nothing. When the queue is
 * full, the last request of the team with the largest backlog relative to its weight is evicted, so that one team
 * cannot fill the queue. Not thread-safe.
 */
public class FairQueue<T>(private val capacity: Int = DEFAULT_QUEUE_CAPACITY) {
    private class Flow<T>(val team: TeamId?, var weight: Int) {
        val requests = ArrayDeque<QueuedRequest<T>>()
        var tokens = 0L
        var finishTag = 0.0
        var startTag = 0.0
    }

    private val flows = HashMap<TeamId?, Flow<T>>()
    private var virtualTime = 0.0

    /** Number of queued requests. */
    public var size: Int = 0
        private set

    /** Number of queued requests of [team]. */
    public fun queuedCount(team: TeamId?): Int = flows[team]?.requests?.size ?: 0

    /** Tokens that would be served before a new request of [team] with [weight], excluding its own tokens. */
    public fun tokensAhead(team: TeamId?, weight: Int): Double {
        val own = flows[team]
        val ownTokens = own?.tokens ?: 0
        val startTag = (own?.let(::nextStartTag) ?: virtualTime) + ownTokens.toDouble() / weight
        var tokensAhead = ownTokens.toDouble()
        for (flow in flows.values) {
            if (flow === own || flow.requests.isEmpty()) continue
            tokensAhead += min(flow.tokens.toDouble(), max(0.0, startTag - flow.startTag) * flow.weight)
        }
        return tokensAhead
    }

    /**
     * Adds [request], whose team has [weight]. Returns the request that was evicted because the queue was full, which
     * is [request] itself when its own team has the largest backlog, or null.
     */
    public fun add(request: QueuedRequest<T>, weight: Int): QueuedRequest<T>? {
        val flow = flows.getOrPut(request.team) { Flow(request.team, weight) }
        flow.weight = max(1, weight)
        if (flow.requests.isEmpty()) flow.startTag = nextStartTag(flow)
        flow.requests.addLast(request)
        flow.tokens += request.tokens
        request.queued = true
        size++
        if (size <= capacity) return null
        val mostBacklogged = flows.values.filter { it.requests.isNotEmpty() }.maxBy { it.tokens.toDouble() / it.weight }
        return mostBacklogged.requests.last().also(::remove)
    }

    /** Removes and returns the request to serve next, or null when the queue is empty. */
    public fun poll(): QueuedRequest<T>? {
        val flow = flows.values.filter { it.requests.isNotEmpty() }.minWithOrNull(BY_START_TAG) ?: return null
        val request = flow.requests.removeFirst()
        flow.tokens -= request.tokens
        size--
        request.queued = false
        virtualTime = max(virtualTime, flow.startTag)
        flow.finishTag = flow.startTag + request.tokens.toDouble() / flow.weight
        flow.startTag = flow.finishTag
        evictIdleFlows()
        return request
    }

    /** Removes [request] before it is served. Returns false when it is no longer queued. */
    public fun remove(request: QueuedRequest<T>): Boolean {
        if (!request.queued) return false
        val flow = flows.getValue(request.team)
        flow.requests.remove(request)
        flow.tokens -= request.tokens
        request.queued = false
        size--
        return true
    }

    /** Removes and returns all requests whose deadline is not after [nowNanos]. */
    public fun removeExpired(nowNanos: Long): List<QueuedRequest<T>> =
        flows.values.flatMap { flow -> flow.requests.filter { it.deadlineNanos <= nowNanos } }.onEach(::remove)

    private fun nextStartTag(flow: Flow<T>): Double =
        if (flow.requests.isEmpty()) max(virtualTime, flow.finishTag) else flow.startTag

    // An idle flow whose finish tag has passed equals a new flow; keeping it would use memory for every team ever seen.
    private fun evictIdleFlows() {
        if (flows.size <= IDLE_FLOW_EVICTION_THRESHOLD) return
        flows.values.removeIf { it.requests.isEmpty() && it.finishTag <= virtualTime }
    }

    private companion object {
        const val IDLE_FLOW_EVICTION_THRESHOLD = 64
        val BY_START_TAG = compareBy<Flow<*>>({ it.startTag }, { it.team?.value.orEmpty() })
    }
}
