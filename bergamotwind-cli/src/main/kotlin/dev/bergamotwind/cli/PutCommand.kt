package dev.bergamotwind.cli

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.OperatorConfiguration

/**
 * Adds an item or changes it. Options that are not given keep the value that the item has; for a new item they take
 * the default, or are needed.
 */
internal abstract class PutCommand(kind: String) : ChangeCommand("put", "Adds or changes a $kind.") {
    /** Id of the item. */
    protected val id: String by argument(help = "Id of the $kind")

    /** Returns the edit that puts the item, given the configuration as it is now. */
    protected abstract fun edit(now: OperatorConfiguration): ConfigurationEdit

    final override fun execute(client: AdministrationClient): Unit =
        submit(client, listOf(edit(client.configuration().orExit())))

    /** An option that is yes or no. */
    protected fun yesOrNo(name: String, help: String): NullableOption<Boolean, Boolean> =
        option(name, help = help).choice("yes" to true, "no" to false)

    /** An option that is a list separated by commas; an empty text is an empty list. */
    protected fun names(name: String, help: String): NullableOption<List<String>, List<String>> =
        option(name, help = "$help, separated by commas; replaces the list", metavar = "IDS")
            .convert { text -> text.split(',').map { it.trim() }.filter { it.isNotEmpty() } }

    /** Returns [value], or ends the command because a new item needs the option [name]. */
    protected fun <T : Any> needed(value: T?, name: String): T =
        value ?: throw UsageError("$name is needed, because '$id' is new")
}
