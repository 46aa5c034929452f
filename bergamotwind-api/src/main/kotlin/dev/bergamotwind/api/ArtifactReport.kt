package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** An artifact on an engine, with the memory it uses. */
@Serializable
public data class ArtifactReport(val artifact: Artifact, val state: ArtifactState, val memory: Mebibytes)
