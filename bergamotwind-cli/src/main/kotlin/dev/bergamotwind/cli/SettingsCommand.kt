package dev.bergamotwind.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import dev.bergamotwind.configuration.FileError
import dev.bergamotwind.configuration.NodeSettings

/** The command `settings`. */
internal fun settingsCommand(): CliktCommand =
    CommandGroup("settings", "Settings of a node.", listOf(CheckSettingsCommand()))

/** `settings check`. */
internal class CheckSettingsCommand : CliktCommand("check") {
    private val file by argument(help = "TOML file").path(mustExist = true, canBeDir = false, mustBeReadable = true)

    override fun help(context: Context): String = "Reports every fault of a settings file."

    override fun run() {
        val settings = NodeSettings.read(file).fold({ throw faulty(it) }, { it })
        echo("valid vm=${settings.vm} failure_domain=${settings.failureDomain} region=${settings.region}")
    }
}

/** Ends a command with every fault of a file, a line for each. */
internal fun faulty(faults: List<FileError>): CommandError =
    CommandError(faults.joinToString("\n") { it.toLine() }, ExitCode.FAILED)
