package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.ServiceId

/** A service as operators configured it. */
public data class ServedService(
    val id: ServiceId,
    /** Path that tells whether a target considers itself healthy. */
    val healthPath: String,
    /** Connections that one target accepts from all callers together. */
    val connectionLimit: Int,
    /** Present when the targets are model engines. */
    val engine: EngineProfile?,
)
