package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.ServiceId

/** A route of the configuration. Times are in milliseconds. */
public data class ServedRoute(
    val id: RouteId,
    val host: String,
    /** Path prefix of this route; the longest matching prefix wins. */
    val prefix: String,
    val kind: RouteKind,
    /** Longest time that a caller waits for the complete response. */
    val timeoutMillis: Long,
    /** Target time to the response, or to the first event of a stream. */
    val targetLatencyMillis: Long,
    /** Priority of the route; 0 is the highest. */
    val priority: Int,
    val services: List<WeightedService>,
    /** Largest number of targets on which one request may run. */
    val attemptLimit: Int,
    /** True when the route needs no key. */
    val isOpen: Boolean,
    /** True when another target can resume a stream after its last event. */
    val isResumable: Boolean,
    /** Longest gap between the events of a stream that is on time. */
    val maxEventGapMillis: Long,
    /** Longest time without an event, also before the first, until callers leave a stream; null without limit. */
    val callerEventTimeoutMillis: Long? = null,
) {
    /** True when a request may be sent again although it may have run. */
    val isRepeatable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAMING && isResumable)

    /** Selects a service by weight for [fraction] between 0 and 1; null when no service has weight. */
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
