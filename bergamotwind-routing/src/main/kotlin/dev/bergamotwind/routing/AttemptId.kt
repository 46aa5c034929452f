package dev.bergamotwind.routing

import dev.bergamotwind.api.RequestId

/** Identifies one attempt to execute [request]; [number] starts at 1. */
public data class AttemptId(val request: RequestId, val number: Int) {
    override fun toString(): String = "$request.$number"
}
