package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.call.ModelRequest
import dev.bergamotwind.serving.catalogue.ServedService

/** What a target is chosen for. */
internal class TargetCriteria(
    val service: ServedService,
    val modelRequest: ModelRequest?,
    val priority: PriorityClass,
    /** Targets that have failed this request. */
    val excluded: Set<TargetId>,
    /** Connections that this VM may open to one target. */
    val connectionLimit: Int,
)
