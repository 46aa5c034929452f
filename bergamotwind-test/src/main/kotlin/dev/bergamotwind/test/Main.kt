package dev.bergamotwind.test

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs one stand-in, chosen by the subcommand. */
public fun main(arguments: Array<String>) {
    // Chosen explicitly: io_uring must not be used, and NIO works on every machine.
    System.setProperty("com.linecorp.armeria.transportType", "nio")
    TestCommand()
        .subcommands(PlatformCommand(), EngineCommand(), ServiceCommand(), LoadCommand(), AskCommand())
        .main(arguments)
}
