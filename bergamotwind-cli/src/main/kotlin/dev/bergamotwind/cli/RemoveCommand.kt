package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import dev.bergamotwind.configuration.ConfigurationEdit

/** Removes one item. */
internal class RemoveCommand(kind: String, summary: String, private val edit: (String) -> ConfigurationEdit) :
    ChangeCommand("remove", summary) {
    private val id by argument(help = "Id of the $kind")

    override fun execute(client: AdministrationClient): Unit = submit(client, listOf(edit(id)))
}
