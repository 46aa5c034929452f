package dev.bergamotwind.node

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import dev.bergamotwind.configuration.NodeSettings

/** Runs a node until SIGTERM or an operator stops it. */
internal class NodeCommand : CliktCommand(name = "bergamotwind-node") {
    private val settings by option("--settings", help = "TOML file with the settings of this node")
        .path(mustExist = true, canBeDir = false).required()

    override fun help(context: Context): String =
        "Runs a node. Exits with 0 after a graceful stop, 1 on faulty settings."

    override fun run() {
        val parsed = NodeSettings.read(settings).fold(
            { faults ->
                faults.forEach { echo(it.toString(), err = true) }
                throw ProgramResult(1)
            },
            { it },
        )
        val node = Node(parsed)
        Runtime.getRuntime().addShutdownHook(Thread(node::stop, "shutdown"))
        node.start()
        Thread.currentThread().join()
    }
}
