package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/**
 * A lagging report of an engine or a plain service about itself. [lastOrder] is the greatest order number the engine
 * has received; orders with a lower number may still arrive later at engines that do not check fencing.
 */
@Serializable
public data class EngineReport(
    val target: TargetId,
    val wallMillis: Long,
    val running: Int,
    val queued: Int,
    val memory: Mebibytes,
    val lastOrder: Long = 0,
    val artifacts: List<ArtifactReport> = emptyList(),
    val warmPrefixes: List<String> = emptyList(),
    val role: EngineRole = EngineRole.BOTH,
    val leaving: Boolean = false,
)
