package dev.bergamotwind.node

import dev.bergamotwind.configuration.ConfigurationChange
import dev.bergamotwind.configuration.OperatorConfiguration
import kotlinx.serialization.Serializable

/** What one node sends another that lacks configuration: a change, or the whole if the change is no longer kept. */
@Serializable
internal data class PeerConfiguration(
    val change: ConfigurationChange? = null,
    val whole: OperatorConfiguration? = null,
)
