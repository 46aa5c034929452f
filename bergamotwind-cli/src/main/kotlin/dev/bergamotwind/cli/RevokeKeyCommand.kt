package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import dev.bergamotwind.configuration.ConfigurationEdit

/** `key revoke` and its synonym `key remove`. */
internal class RevokeKeyCommand(name: String) :
    ChangeCommand(name, "Revokes a key for good; calls that use it are cancelled within seconds.") {
    private val prefix by argument("DIGEST", help = "Digest of the key, or at least 12 of its first digits")

    override fun execute(client: AdministrationClient) {
        val digests = client.configuration().orExit().keys.keys.filter { it.value.startsWith(prefix) }
        if (prefix.length < MINIMUM_PREFIX_DIGITS || digests.size != 1) {
            throw CommandError(
                "DIGEST: '$prefix' fits ${digests.size} keys. Give 12 or more digits that 'key list' shows.",
                ExitCode.FAILED,
            )
        }
        submit(client, digests.map(ConfigurationEdit::RevokeKey))
    }

    private companion object {
        const val MINIMUM_PREFIX_DIGITS = 12
    }
}
