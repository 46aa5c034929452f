package dev.bergamotwind.node

import dev.bergamotwind.api.Revision
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.configuration.ConfigurationJson
import dev.bergamotwind.membership.ConfigurationExchange
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException

private val logger = KotlinLogging.logger {}

/** Sends peers the configuration changes that they lack, and receives missing changes from them. */
internal class PeerConfigurationExchange(
    private val appliedConfiguration: AppliedConfiguration,
    private val send: (ConfigurationMessage) -> Unit,
) : ConfigurationExchange {
    override fun appliedRevision(): Revision = appliedConfiguration.current.revision

    override fun changesAfter(revision: Revision, maximumBytes: Int): List<String> {
        val changes = appliedConfiguration.changesAfter(revision)
            ?: return listOf(
                ConfigurationJson.encodeToString(PeerConfigurationUpdate(configuration = appliedConfiguration.current)),
            )
        var bytes = 0
        return changes.map { ConfigurationJson.encodeToString(PeerConfigurationUpdate(change = it)) }
            .takeWhile { text -> (bytes == 0 || bytes + text.length <= maximumBytes).also { bytes += text.length } }
    }

    override fun receiveChanges(changes: List<String>) {
        val received = changes.mapNotNull(::decodeUpdate)
        received.firstNotNullOfOrNull { it.configuration }?.let { send(ConfigurationMessage.FullConfiguration(it)) }
        val updates = received.mapNotNull { it.change }
        if (updates.isNotEmpty()) send(ConfigurationMessage.Changes(updates))
    }

    private fun decodeUpdate(text: String): PeerConfigurationUpdate? = try {
        ConfigurationJson.decodeFromString<PeerConfigurationUpdate>(text)
    } catch (failure: SerializationException) {
        logger.warn { "event=configuration.unreadable source=peer error=\"${failure.message}\"" }
        null
    }
}
