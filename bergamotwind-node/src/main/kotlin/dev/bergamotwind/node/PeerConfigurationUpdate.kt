package dev.bergamotwind.node

import dev.bergamotwind.configuration.ConfigurationChange
import dev.bergamotwind.configuration.OperatorConfiguration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Configuration for a peer that lags behind: one change, or all of it if the change is no longer retained. */
@Serializable
internal data class PeerConfigurationUpdate(
    val change: ConfigurationChange? = null,
    @SerialName("whole")
    val configuration: OperatorConfiguration? = null,
)
