package dev.bergamotwind.test

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs one stand-in, chosen by the subcommand. */
public fun main(arguments: Array<String>): Unit = TestCommand().subcommands(PlatformCommand()).main(arguments)
