package dev.bergamotwind.cli

import kotlin.system.exitProcess

/** Runs the operators' command line and exits with one of [ExitCode]. */
public fun main(arguments: Array<String>): Unit = exitProcess(runCommandLine(arguments.toList()).code)
