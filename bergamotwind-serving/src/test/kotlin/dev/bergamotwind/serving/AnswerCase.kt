package dev.bergamotwind.serving

import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.serving.catalogue.RouteKind

/** An answer in which a target states something about itself, to the last request of a fleet. */
data class AnswerCase(
    val name: String,
    /** True when the statement is the target's own. */
    val isBelieved: Boolean,
    val kind: RouteKind = RouteKind.NON_IDEMPOTENT,
    val service: ServiceId = Samples.plain,
    val answer: (RequestFleet) -> Unit,
) {
    override fun toString() = name
}
