package dev.bergamotwind.admission

import dev.bergamotwind.api.RouteId

/** What a request asks to use. */
public sealed interface AccessSubject {
    /** A model, or an adapter of it, as named by the caller: `MODEL` or `MODEL:ADAPTER`. */
    public data class NamedModel(val name: String) : AccessSubject

    /** A route to a plain service. */
    public data class NamedRoute(val id: RouteId) : AccessSubject

    /** Only the team itself, for example to list its models. */
    public data object OwnTeam : AccessSubject
}
