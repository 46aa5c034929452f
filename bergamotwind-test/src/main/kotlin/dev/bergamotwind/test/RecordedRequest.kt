package dev.bergamotwind.test

import kotlinx.serialization.Serializable

/** One request as a fake target received it; tests use it to check that no credential reached the target. */
@Serializable
public data class RecordedRequest(val path: String, val headers: List<String>, val body: String)
