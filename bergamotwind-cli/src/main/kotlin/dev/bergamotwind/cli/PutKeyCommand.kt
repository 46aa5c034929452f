package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.configuration.ApiKey
import dev.bergamotwind.configuration.ConfigurationEdit

/** `key put`: registers a key that was created elsewhere. */
internal class PutKeyCommand : ChangeCommand("put", "Registers a key by its digest.") {
    private val digest by argument(help = "SHA-256 digest of the key, in lower-case hexadecimal")
    private val team by option("--team", help = "Team that the key belongs to").required()

    override fun execute(client: AdministrationClient): Unit =
        submit(client, listOf(ConfigurationEdit.PutKey(ApiKey(KeyDigest(digest), TeamId(team)))))
}
