package dev.bergamotwind.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.apache.commons.csv.CSVFormat
import org.apache.commons.csv.CSVParser
import org.apache.commons.csv.CSVRecord
import java.io.IOException
import java.io.UncheckedIOException

/**
 * The planning sheet: a CSV export that describes models, adapters, routes, teams and keys, one in a row. The columns
 * are those of [SheetColumn].
 */
public class PlanningSheet private constructor(
    /** Name of the file, for faults. */
    public val file: String,
    /** The rows in the order of the file. */
    public val rows: List<SheetRow>,
) {
    /**
     * Computes the edits that take [current] to what this sheet describes, as one list for one change. Items that the
     * sheet does not name are kept unless [removeMissing] is set, so that a truncated export removes nothing by
     * accident; targets and failure domains are never touched. Fails with every row whose edit would be refused.
     */
    public fun plan(
        current: OperatorConfiguration,
        removeMissing: Boolean = false,
    ): Either<List<FileFault>, List<ConfigurationEdit>> {
        val faults = mutableListOf<FileFault>()
        val edits = mutableListOf<ConfigurationEdit>()
        var planned = current
        fun add(edit: ConfigurationEdit, line: Int?, field: String) {
            val next = ConfigurationEditor.applied(planned, edit)
            if (next == planned) return
            EditRules.faults(planned, edit).mapTo(faults) { FileFault(file, line, field, it, PLAN_REMEDY) }
            edits += edit
            planned = next
        }
        rows.sortedBy { it.kind }.forEach { add(it.edit, it.line, "${it.kind.label} ${it.id}") }
        if (removeMissing) removals(current).forEach { add(it, null, "missing rows") }
        return if (faults.isEmpty()) edits.right() else faults.left()
    }

    /** Users before what they use. */
    private fun removals(current: OperatorConfiguration): List<ConfigurationEdit> {
        val named = rows.groupBy({ it.kind }, { it.id }).mapValues { it.value.toSet() }
        fun <T> missing(kind: SheetKind, ids: Set<T>) = ids.filter { it.toString() !in named[kind].orEmpty() }
        return missing(SheetKind.KEY, current.keys.keys).map(ConfigurationEdit::RevokeKey) +
            missing(SheetKind.TEAM, current.teams.keys).map(ConfigurationEdit::RemoveTeam) +
            missing(SheetKind.ADAPTER, current.adapters.keys).map(ConfigurationEdit::RemoveAdapter) +
            missing(SheetKind.MODEL, current.models.keys).map(ConfigurationEdit::RemoveModel) +
            missing(SheetKind.ROUTE, current.routes.keys).map(ConfigurationEdit::RemoveRoute)
    }

    /** Reads sheets. */
    public companion object {
        private const val PLAN_REMEDY = "Correct the row or the item that it refers to."
        private const val BYTE_ORDER_MARK = "\uFEFF"

        /** Checks the CSV [text] and reports every bad row at once; [file] appears in the faults. */
        public fun parse(file: String, text: String): Either<List<FileFault>, PlanningSheet> {
            val faults = mutableListOf<FileFault>()
            val rows = try {
                readRows(file, text.removePrefix(BYTE_ORDER_MARK), faults)
            } catch (failure: IOException) {
                faults += notCsv(file, failure)
                emptyList()
            } catch (failure: UncheckedIOException) {
                faults += notCsv(file, failure)
                emptyList()
            }
            for ((item, same) in rows.groupBy { "${it.kind.label} ${it.id}" }) {
                same.drop(1).mapTo(faults) {
                    FileFault(file, it.line, "id", "$item is already in line ${same[0].line}", "Remove one row.")
                }
            }
            return if (faults.isEmpty()) PlanningSheet(file, rows).right() else faults.sortedBy { it.line }.left()
        }

        private fun readRows(file: String, text: String, faults: MutableList<FileFault>): List<SheetRow> {
            val format = CSVFormat.DEFAULT.builder().setTrim(true).setIgnoreEmptyLines(false).get()
            return CSVParser.parse(text, format).use { parser ->
                val records = parser.iterator()
                val header = if (records.hasNext()) header(file, records.next(), faults) else emptyList()
                if (header.isEmpty()) {
                    faults += FileFault(file, 1, "header", "is missing", "Start with the columns' names.")
                }
                var line = 1
                buildList {
                    // A quoted cell may span lines, so the line of a record is where the one before it ended.
                    while (header.isNotEmpty() && records.hasNext()) {
                        val record = records.next()
                        line++
                        val cells = header.zip(record.values().toList()).mapNotNull { (column, cell) ->
                            column?.let { it to cell }
                        }.toMap()
                        if (record.size() > header.size) {
                            val message = "has ${record.size()} cells under ${header.size} columns"
                            faults += FileFault(file, line, "row", message, "Quote cells that hold a comma.")
                        }
                        if (cells.values.any { it.isNotEmpty() }) {
                            SheetRowReader(file, line, cells, faults).read()?.let(::add)
                        }
                        line += record.values().sumOf { cell -> cell.count { it == '\n' } }
                    }
                }
            }
        }

        /** The columns in the order of the file; null for a column that is unknown. */
        private fun header(file: String, record: CSVRecord, faults: MutableList<FileFault>): List<SheetColumn?> {
            val labels = record.values().toList()
            val columns = labels.map { label -> SheetColumn.entries.firstOrNull { it.label == label } }
            labels.filterIndexed { index, label -> columns[index] == null || labels.indexOf(label) < index }
                .mapTo(faults) { FileFault(file, 1, it, "is no column, or is there twice", "Remove the column.") }
            SheetColumn.entries.filter { it !in columns }
                .mapTo(faults) { FileFault(file, 1, it.label, "is missing", "Add the column; it may be empty.") }
            return columns
        }

        private fun notCsv(file: String, failure: Exception) =
            FileFault(file, null, "syntax", failure.message.orEmpty(), "Export the sheet as CSV with quoted cells.")
    }
}
