package dev.bergamotwind.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.PlanningSheet
import java.nio.file.Path
import kotlin.io.path.readText

private const val REMOVE_MISSING_HELP = "Also remove items that the sheet does not name"

/** The command `sheet`. */
internal fun sheetCommand(): CliktCommand = CommandGroup(
    "sheet",
    "The planning sheet (CSV).",
    listOf(CheckSheetCommand(), PlanSheetCommand(), ApplySheetCommand()),
)

private fun readSheet(file: Path): PlanningSheet =
    PlanningSheet.parse("$file", file.readText()).fold({ throw faulty(it) }, { it })

/** `sheet check`. */
internal class CheckSheetCommand : CliktCommand("check") {
    private val file by argument(help = "CSV file").path(mustExist = true, canBeDir = false, mustBeReadable = true)

    override fun help(context: Context): String = "Reports every bad row of a sheet. Needs no node."

    override fun run(): Unit = echo("valid rows=${readSheet(file).rows.size}")
}

/** `sheet plan`. */
internal class PlanSheetCommand :
    AdministrationCommand("plan", "Shows the edits that lead from the current configuration to the sheet.") {
    private val file by argument(help = "CSV file").path(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val removeMissing by option("--remove-missing", help = REMOVE_MISSING_HELP).flag()

    override fun execute(client: AdministrationClient) {
        val sheet = readSheet(file)
        val current = client.configuration().orExit()
        val edits = sheet.plan(current, removeMissing).fold({ throw faulty(it) }, { it })
        edits.forEach { echo(lineOf(ConfigurationEdit.serializer(), it)) }
        echo("planned edits=${edits.size} revision=${current.revision}")
    }
}

/** `sheet apply`. */
internal class ApplySheetCommand : ChangeCommand("apply", "Submits the plan of a sheet as one change.") {
    private val file by argument(help = "CSV file").path(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val removeMissing by option("--remove-missing", help = REMOVE_MISSING_HELP).flag()

    override fun execute(client: AdministrationClient) {
        val sheet = readSheet(file)
        val current = client.configuration().orExit()
        val edits = sheet.plan(current, removeMissing).fold({ throw faulty(it) }, { it })
        if (edits.isEmpty()) echo("unchanged revision=${current.revision}") else submit(client, edits)
    }
}
