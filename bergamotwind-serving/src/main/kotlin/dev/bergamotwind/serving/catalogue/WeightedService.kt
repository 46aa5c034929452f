package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.ServiceId

/** A service of a route and its share of the route's requests, relative to the other weights. */
public data class WeightedService(val service: ServiceId, val weight: Double)
