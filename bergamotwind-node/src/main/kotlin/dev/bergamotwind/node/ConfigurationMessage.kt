package dev.bergamotwind.node

import dev.bergamotwind.configuration.ConfigurationChange
import dev.bergamotwind.configuration.OperatorConfiguration

/** Messages to the thread of [ConfigurationUpdater]. */
internal sealed interface ConfigurationMessage {
    /** The change log has new entries. */
    data object LogChanged : ConfigurationMessage

    /** The watch on the change log has ended. */
    data object WatchEnded : ConfigurationMessage

    /** Changes from a peer. */
    data class Changes(val changes: List<ConfigurationChange>) : ConfigurationMessage

    /** A complete configuration from a peer. */
    data class FullConfiguration(val configuration: OperatorConfiguration) : ConfigurationMessage
}
