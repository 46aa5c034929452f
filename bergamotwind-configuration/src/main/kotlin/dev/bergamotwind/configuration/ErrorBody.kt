package dev.bergamotwind.configuration

import dev.bergamotwind.api.RunOutcome
import kotlinx.serialization.Serializable

/** Fields of an error response. */
@Serializable
public data class ErrorBody(val type: String, val message: String, val remedy: String, val run: RunOutcome)
