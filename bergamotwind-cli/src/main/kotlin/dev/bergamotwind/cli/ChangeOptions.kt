package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.defaultLazy
import com.github.ajalt.clikt.parameters.options.option
import java.util.UUID

/** Options of commands that change the configuration. */
internal class ChangeOptions : OptionGroup("Change") {
    /** Name under which the change is logged. */
    val author by option("--author", envvar = "BERGAMOTWIND_AUTHOR", help = "Name under which the change is logged")
        .default("operator")

    /** Id of the change. */
    val id by option(
        "--change-id",
        help = "Id of the change; give the same id again to settle a change whose outcome is unknown",
    ).defaultLazy(defaultForHelp = "random") { UUID.randomUUID().toString() }
}
