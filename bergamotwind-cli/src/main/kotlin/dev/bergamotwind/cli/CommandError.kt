package dev.bergamotwind.cli

import com.github.ajalt.clikt.core.CliktError

/** Ends a command with [exitCode] after printing [message]. */
internal class CommandError(message: String, val exitCode: ExitCode) :
    CliktError(message, statusCode = exitCode.code)
