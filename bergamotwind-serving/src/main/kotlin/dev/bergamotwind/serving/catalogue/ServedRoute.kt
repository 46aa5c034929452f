package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.ServiceId

/** A route as operators configured it. Times are in milliseconds. */
public data class ServedRoute(
    val id: RouteId,
    val host: String,
    /** Beginning of the paths of this route; the longest matching one wins. */
    val prefix: String,
    val kind: RouteKind,
    /** Longest time that a caller is kept waiting. */
    val timeoutMillis: Long,
    /** Time to the answer, or to the first event of a stream, within which it is on time. */
    val targetLatencyMillis: Long,
    /** Rank of the route; 0 is the highest. */
    val priority: Int,
    val services: List<WeightedService>,
    /** Largest number of targets on which one request may run. */
    val attemptLimit: Int,
    /** True when the route needs no key. */
    val isOpen: Boolean,
    /** True when a stream may go on at another target after its last event. */
    val isResumable: Boolean,
    /** Longest pause between the events of a stream that is on time. */
    val pauseLimitMillis: Long,
    /** Longest time without an event, also before the first, after which callers leave a stream; null without limit. */
    val silenceLimitMillis: Long? = null,
) {
    /** True when a request may be sent again although it may have run. */
    val isRepeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)

    /** Returns the service for a request that draws [fraction] between 0 and 1, or null when no service has weight. */
    public fun service(fraction: Double): ServiceId? {
        val total = services.sumOf { it.weight }
        var remaining = fraction * total
        for (candidate in services) {
            remaining -= candidate.weight
            if (candidate.weight > 0 && remaining < 0) return candidate.service
        }
        return services.lastOrNull { it.weight > 0 }?.service
    }
}
