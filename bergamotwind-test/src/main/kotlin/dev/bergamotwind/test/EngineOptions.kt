package dev.bergamotwind.test

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.TargetId

/** What an engine stand-in is like. */
public data class EngineOptions(
    val id: TargetId,
    val memory: Mebibytes,
    val checksFencing: Boolean = false,
    val initial: Map<Artifact, Mebibytes> = emptyMap(),
    val tokenDelayMillis: Long = 0,
    val loadMillis: Long = 50,
)
