package dev.bergamotwind.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands

/** The root command `bergamotwind`. */
internal class CommandLine : CliktCommand("bergamotwind") {
    init {
        subcommands(allCommands())
    }

    override fun help(context: Context): String = "Operates the nodes of bergamotwind."

    override fun helpEpilog(context: Context): String =
        "Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 unreachable."

    override fun run(): Unit = Unit
}

/** All subcommands of `bergamotwind`; a new one is added here. */
internal fun allCommands(): List<CliktCommand> =
    itemCommands() + listOf(settingsCommand(), sheetCommand(), StatusCommand(), TimelineCommand(), DrainCommand())

/** Parses [arguments], runs the command and returns the exit code; prints errors and help. */
internal fun runCommandLine(arguments: List<String>): ExitCode {
    // Set before Armeria reads it, so that its default can never choose io_uring.
    System.setProperty("com.linecorp.armeria.transportType", "nio")
    val commandLine = CommandLine()
    return try {
        commandLine.parse(arguments)
        ExitCode.DONE
    } catch (error: CliktError) {
        commandLine.echoFormattedHelp(error)
        exitCodeOf(error)
    }
}

/** Clikt gives wrong usage the status 1, which here means a failure. */
internal fun exitCodeOf(error: CliktError): ExitCode = when (error) {
    is CommandError -> error.exitCode
    is UsageError -> ExitCode.USAGE
    is PrintHelpMessage -> if (error.error) ExitCode.USAGE else ExitCode.DONE
    else -> if (error.statusCode == 0) ExitCode.DONE else ExitCode.FAILED
}
