package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import kotlinx.serialization.Serializable

/** Body of `POST /administration/v1/changes`: all [edits] are accepted as one change, or none is. */
@Serializable
public data class SubmitChanges(val id: ChangeId, val author: String, val edits: List<ConfigurationEdit>)
