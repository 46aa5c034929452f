package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Revision
import kotlinx.serialization.Serializable

/** One entry of the change log: all [edits] take effect together as [revision], or none does. */
@Serializable
public data class ConfigurationChange(
    val id: ChangeId,
    val revision: Revision,
    val edits: List<ConfigurationEdit>,
    val author: String,
    val wallMillis: Long,
)
