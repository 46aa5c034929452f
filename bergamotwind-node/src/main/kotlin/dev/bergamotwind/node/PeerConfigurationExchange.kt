package dev.bergamotwind.node

import dev.bergamotwind.api.Revision
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.configuration.ConfigurationJson
import dev.bergamotwind.membership.ConfigurationExchange
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException

private val logger = KotlinLogging.logger {}

/** Gives peers the configuration changes that they lack, and takes theirs. */
internal class PeerConfigurationExchange(
    private val applied: AppliedConfiguration,
    private val send: (ConfigurationMessage) -> Unit,
) : ConfigurationExchange {
    override fun appliedRevision(): Revision = applied.current.revision

    override fun changesAfter(revision: Revision, maximumBytes: Int): List<String> {
        val changes = applied.changesAfter(revision)
            ?: return listOf(ConfigurationJson.encodeToString(PeerConfiguration(whole = applied.current)))
        var bytes = 0
        return changes.map { ConfigurationJson.encodeToString(PeerConfiguration(change = it)) }
            .takeWhile { text -> (bytes == 0 || bytes + text.length <= maximumBytes).also { bytes += text.length } }
    }

    override fun receiveChanges(changes: List<String>) {
        val received = changes.mapNotNull(::decode)
        received.firstNotNullOfOrNull { it.whole }?.let { send(ConfigurationMessage.Whole(it)) }
        val following = received.mapNotNull { it.change }
        if (following.isNotEmpty()) send(ConfigurationMessage.Changes(following))
    }

    private fun decode(text: String): PeerConfiguration? = try {
        ConfigurationJson.decodeFromString<PeerConfiguration>(text)
    } catch (failure: SerializationException) {
        logger.warn { "event=configuration.unreadable source=peer error=\"${failure.message}\"" }
        null
    }
}
