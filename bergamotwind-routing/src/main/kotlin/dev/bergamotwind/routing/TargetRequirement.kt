package dev.bergamotwind.routing

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId

/** What a target must offer to serve a request. */
public sealed interface TargetRequirement {
    /** An engine with [model] loaded, and [adapter] loaded or loadable. */
    public data class Engine(val model: ModelId, val adapter: AdapterId? = null) : TargetRequirement

    /** A replica of the plain service behind [route]. */
    public data class Service(val route: RouteId) : TargetRequirement
}
