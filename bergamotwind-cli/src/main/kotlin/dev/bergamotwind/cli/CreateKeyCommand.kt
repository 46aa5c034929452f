package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.configuration.ApiKey
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.keyDigest
import java.security.SecureRandom
import java.util.Base64

/** `key create`: the key is printed once and leaves this process only as a digest. */
internal class CreateKeyCommand :
    ChangeCommand("create", "Creates a key and prints it once; only its digest is kept.") {
    private val team by argument(help = "Team that the key belongs to")

    override fun execute(client: AdministrationClient) {
        val key = PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(
            ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes),
        )
        val digest = keyDigest(key)
        echo("digest=$digest team=$team", err = true)
        submit(client, listOf(ConfigurationEdit.PutKey(ApiKey(digest, TeamId(team)))))
        echo("key=$key")
    }

    private companion object {
        /** 256 random bits cannot be guessed. */
        const val KEY_BYTES = 32

        /** Lets secret scanners recognise a key. */
        const val PREFIX = "bgw-"
    }
}
