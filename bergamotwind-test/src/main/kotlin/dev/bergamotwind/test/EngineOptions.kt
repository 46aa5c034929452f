package dev.bergamotwind.test

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.TargetId

/** Configuration of an [EngineServer]. */
public data class EngineOptions(
    val id: TargetId,
    val memory: Mebibytes,
    val checksFencing: Boolean = false,
    val initialArtifacts: Map<Artifact, Mebibytes> = emptyMap(),
    val tokenDelayMillis: Long = 0,
    val loadMillis: Long = 50,
)
