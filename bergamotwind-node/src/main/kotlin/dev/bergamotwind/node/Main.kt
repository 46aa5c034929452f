package dev.bergamotwind.node

import com.github.ajalt.clikt.core.main
import dev.bergamotwind.node.entry.EntryProcess
import dev.bergamotwind.node.entry.EntryRehearsal
import dev.bergamotwind.node.entry.LibraryDefaults

/** Entry point of `bergamotwind-node`. */
public fun main(arguments: Array<String>) {
    if (arguments.firstOrNull() == EntryProcess.COMMAND) {
        // An entry VM must be ready within seconds on a third of a core, so it skips loading the command-line parser.
        LibraryDefaults.apply()
        EntryProcess.run()
        return
    }
    if (arguments.firstOrNull() == EntryRehearsal.COMMAND) {
        LibraryDefaults.apply()
        return EntryRehearsal.run()
    }
    // Set explicitly: io_uring must not be used, and NIO works on every machine.
    System.setProperty("com.linecorp.armeria.transportType", "nio")
    NodeCommand().main(arguments)
}
