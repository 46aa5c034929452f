package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Revision
import kotlinx.serialization.Serializable

/** One entry of the change log. Its [edits] are applied atomically and produce [revision]. */
@Serializable
public data class ConfigurationChange(
    val id: ChangeId,
    val revision: Revision,
    val edits: List<ConfigurationEdit>,
    val author: String,
    val wallMillis: Long,
)
