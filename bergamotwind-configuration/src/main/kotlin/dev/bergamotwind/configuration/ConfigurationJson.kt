package dev.bergamotwind.configuration

import kotlinx.serialization.json.Json

/**
 * JSON format of the configuration in the change log, in snapshots and in the administration API. Unknown fields are
 * ignored, so that a node can read what a newer version has written.
 */
public val ConfigurationJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** JSON format of documents that operators submit: unknown fields are rejected, so that typos are not ignored. */
public val SubmissionJson: Json = Json(ConfigurationJson) { ignoreUnknownKeys = false }
