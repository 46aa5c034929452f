package dev.bergamotwind.node

import dev.bergamotwind.configuration.ConfigurationChange
import dev.bergamotwind.configuration.OperatorConfiguration

/** Messages to the configuration duty. */
internal sealed interface ConfigurationMessage {
    /** The change log has grown, or the watch on it has ended. */
    data object LogChanged : ConfigurationMessage

    /** The watch on the change log has ended. */
    data object WatchEnded : ConfigurationMessage

    /** Changes from a peer. */
    data class Changes(val changes: List<ConfigurationChange>) : ConfigurationMessage

    /** A whole configuration from a peer. */
    data class Whole(val configuration: OperatorConfiguration) : ConfigurationMessage
}
