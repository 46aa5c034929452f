package dev.bergamotwind.admission

import dev.bergamotwind.api.RouteId

/** The resource that a request asks to use. */
public sealed interface RequestedResource {
    /** A model, or an adapter of it, as named by the caller: `MODEL` or `MODEL:ADAPTER`. */
    public data class NamedModel(val name: String) : RequestedResource

    /** A route to a plain service. */
    public data class NamedRoute(val id: RouteId) : RequestedResource

    /** No resource beyond the calling team itself, for example when it lists its models. */
    public data object OwnTeam : RequestedResource
}
