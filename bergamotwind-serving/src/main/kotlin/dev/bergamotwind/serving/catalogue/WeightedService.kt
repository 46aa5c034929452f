package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.ServiceId

/** A service of a route, with its weight relative to the other services of the route. */
public data class WeightedService(val service: ServiceId, val weight: Double)
