package dev.bergamotwind.configuration

import kotlinx.serialization.json.Json

/**
 * JSON of the configuration in the change log, in snapshots and in the administration API. Unknown fields are ignored,
 * so that a node reads what a newer version of the program has written.
 */
public val ConfigurationJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** JSON of documents that operators submit: a misspelt field is a fault and not silently ignored. */
public val SubmissionJson: Json = Json(ConfigurationJson) { ignoreUnknownKeys = false }
