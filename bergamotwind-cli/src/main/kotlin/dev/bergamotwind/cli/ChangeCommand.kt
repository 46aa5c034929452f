package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.groups.provideDelegate
import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.SubmitChanges

/** A command that submits one change. */
internal abstract class ChangeCommand(name: String, summary: String) : AdministrationCommand(name, summary) {
    private val change by ChangeOptions()

    /** Submits [edits] as one change and prints its revision, or ends the command. */
    protected fun submit(client: AdministrationClient, edits: List<ConfigurationEdit>) {
        val result = client.submit(SubmitChanges(ChangeId(change.id), change.author, edits))
        result.onLeft {
            if (isUnclear(it)) {
                echo("Outcome unknown; repeat the command with --change-id ${change.id} to settle it.", err = true)
            }
        }
        val accepted = result.orExit()
        echo("accepted revision=${accepted.revision} change=${accepted.id} edits=${accepted.edits.size}")
    }

    private fun isUnclear(error: AdministrationError): Boolean =
        error !is AdministrationError.Refused || error.error.type == "write_outcome_unknown"
}
