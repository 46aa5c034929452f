package dev.bergamotwind.test

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs the fake server or the client that the subcommand selects. */
public fun main(arguments: Array<String>) {
    // Set explicitly because io_uring must not be used; NIO works on every machine.
    System.setProperty("com.linecorp.armeria.transportType", "nio")
    TestCommand()
        .subcommands(PlatformCommand(), EngineCommand(), ServiceCommand(), LoadCommand(), AskCommand())
        .main(arguments)
}
