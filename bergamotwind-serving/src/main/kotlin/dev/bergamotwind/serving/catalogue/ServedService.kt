package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.ServiceId

/** A service of the configuration. */
public data class ServedService(
    val id: ServiceId,
    /** Path of the health check of its targets. */
    val healthPath: String,
    /** Number of connections that one target accepts from all callers together. */
    val connectionLimit: Int,
    /** Engine properties when the targets are model engines, or null. */
    val engine: EngineProfile?,
)
