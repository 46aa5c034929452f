package dev.bergamotwind.configuration

import dev.bergamotwind.api.RouteId
import kotlinx.serialization.Serializable

/** A route to a plain service. An [open] route requires no key; calls on an [idempotent] route may be retried. */
@Serializable
public data class Route(val id: RouteId, val open: Boolean = false, val idempotent: Boolean = false)
