package dev.bergamotwind.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands

/** A command that only holds subcommands. */
internal class CommandGroup(name: String, private val summary: String, commands: List<CliktCommand>) :
    CliktCommand(name) {
    init {
        subcommands(commands)
    }

    override fun help(context: Context): String = summary

    override fun run(): Unit = Unit
}
