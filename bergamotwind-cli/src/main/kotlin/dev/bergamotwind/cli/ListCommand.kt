package dev.bergamotwind.cli

import dev.bergamotwind.configuration.OperatorConfiguration

/** Lists the items of one kind, a line for each. */
internal class ListCommand(kind: String, private val lines: (OperatorConfiguration) -> List<String>) :
    AdministrationCommand("list", "Lists each $kind as a line of key=value pairs.") {
    override fun execute(client: AdministrationClient): Unit = lines(client.configuration().orExit()).forEach(::echo)
}
