package dev.bergamotwind.test

import kotlinx.serialization.Serializable

/** What a target stand-in saw of one request: enough to prove that no credential reached it. */
@Serializable
public data class RecordedRequest(val path: String, val headers: List<String>, val body: String)
