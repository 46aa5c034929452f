package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import kotlinx.serialization.Serializable

/** Body of `POST /administration/v1/changes`: the [edits] are accepted atomically as one change. */
@Serializable
public data class SubmitChanges(val id: ChangeId, val author: String, val edits: List<ConfigurationEdit>)
