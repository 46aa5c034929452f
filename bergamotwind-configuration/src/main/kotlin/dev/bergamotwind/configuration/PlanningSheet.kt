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
 * The planning sheet: a CSV export that describes models, adapters, routes, teams and keys, one item per row. The
 * columns are defined by [SheetColumn].
 */
public class PlanningSheet private constructor(
    /** Name of the file, used in error messages. */
    public val file: String,
    /** The rows in the order of the file. */
    public val rows: List<SheetRow>,
) {
    /**
     * Computes the edits that transform [current] into the state described by this sheet, as a list for one change.
     * Items missing from the sheet are kept unless [removeMissing] is set, so that a truncated export removes nothing
     * by accident; targets and failure domains are never changed. Fails with the errors of all rows whose edit would
     * be rejected.
     */
    public fun plan(
        current: OperatorConfiguration,
        removeMissing: Boolean = false,
    ): Either<List<FileError>, List<ConfigurationEdit>> {
        val errors = mutableListOf<FileError>()
        val edits = mutableListOf<ConfigurationEdit>()
        var planned = current
        fun planEdit(edit: ConfigurationEdit, line: Int?, field: String) {
            val next = ConfigurationEditor.applyEdit(planned, edit)
            if (next == planned) return
            EditValidator.validate(planned, edit).mapTo(errors) { FileError(file, line, field, it, PLAN_REMEDY) }
            edits += edit
            planned = next
        }
        rows.sortedBy { it.kind }.forEach { planEdit(it.edit, it.line, "${it.kind.label} ${it.id}") }
        if (removeMissing) planRemovals(current).forEach { planEdit(it, null, "missing rows") }
        return if (errors.isEmpty()) edits.right() else errors.left()
    }

    /** Returns the removals in dependency order: items before those that they reference. */
    private fun planRemovals(current: OperatorConfiguration): List<ConfigurationEdit> {
        val named = rows.groupBy({ it.kind }, { it.id }).mapValues { it.value.toSet() }
        fun <T> missing(kind: SheetKind, ids: Set<T>) = ids.filter { it.toString() !in named[kind].orEmpty() }
        return missing(SheetKind.KEY, current.keys.keys).map(ConfigurationEdit::RevokeKey) +
            missing(SheetKind.TEAM, current.teams.keys).map(ConfigurationEdit::RemoveTeam) +
            missing(SheetKind.ADAPTER, current.adapters.keys).map(ConfigurationEdit::RemoveAdapter) +
            missing(SheetKind.MODEL, current.models.keys).map(ConfigurationEdit::RemoveModel) +
            missing(SheetKind.ROUTE, current.routes.keys).map(ConfigurationEdit::RemoveRoute)
    }

    /** Parses sheets. */
    public companion object {
        private const val PLAN_REMEDY = "Correct the row or the item that it refers to."
        private const val BYTE_ORDER_MARK = "\uFEFF"

        /** Parses and validates the CSV [text] and reports all errors at once; [file] is the name shown in them. */
        public fun parse(file: String, text: String): Either<List<FileError>, PlanningSheet> {
            val errors = mutableListOf<FileError>()
            val rows = try {
                readRows(file, text.removePrefix(BYTE_ORDER_MARK), errors)
            } catch (failure: IOException) {
                errors += invalidCsv(file, failure)
                emptyList()
            } catch (failure: UncheckedIOException) {
                errors += invalidCsv(file, failure)
                emptyList()
            }
            for ((item, duplicates) in rows.groupBy { "${it.kind.label} ${it.id}" }) {
                duplicates.drop(1).mapTo(errors) {
                    FileError(file, it.line, "id", "$item is already in line ${duplicates[0].line}", "Remove one row.")
                }
            }
            return if (errors.isEmpty()) PlanningSheet(file, rows).right() else errors.sortedBy { it.line }.left()
        }

        private fun readRows(file: String, text: String, errors: MutableList<FileError>): List<SheetRow> {
            val format = CSVFormat.DEFAULT.builder().setTrim(true).setIgnoreEmptyLines(false).get()
            return CSVParser.parse(text, format).use { parser ->
                val records = parser.iterator()
                val header = if (records.hasNext()) parseHeader(file, records.next(), errors) else emptyList()
                if (header.isEmpty()) {
                    errors += FileError(file, 1, "header", "is missing", "Start with the columns' names.")
                }
                var line = 1
                buildList {
                    // A quoted cell may span lines, so the line of a record follows from the end of the previous one.
                    while (header.isNotEmpty() && records.hasNext()) {
                        val record = records.next()
                        line++
                        val cells = header.zip(record.values().toList()).mapNotNull { (column, cell) ->
                            column?.let { it to cell }
                        }.toMap()
                        if (record.size() > header.size) {
                            val message = "has ${record.size()} cells under ${header.size} columns"
                            errors += FileError(file, line, "row", message, "Quote cells that hold a comma.")
                        }
                        if (cells.values.any { it.isNotEmpty() }) {
                            SheetRowReader(file, line, cells, errors).read()?.let(::add)
                        }
                        line += record.values().sumOf { cell -> cell.count { it == '\n' } }
                    }
                }
            }
        }

        /** Returns the columns in the order of the file, with null for unknown columns. */
        private fun parseHeader(file: String, record: CSVRecord, errors: MutableList<FileError>): List<SheetColumn?> {
            val labels = record.values().toList()
            val columns = labels.map { label -> SheetColumn.entries.firstOrNull { it.label == label } }
            labels.filterIndexed { index, label -> columns[index] == null || labels.indexOf(label) < index }
                .mapTo(errors) { FileError(file, 1, it, "is an unknown or duplicate column", "Remove the column.") }
            SheetColumn.entries.filter { it !in columns }
                .mapTo(errors) { FileError(file, 1, it.label, "is missing", "Add the column; it may be empty.") }
            return columns
        }

        private fun invalidCsv(file: String, failure: Exception) =
            FileError(file, null, "syntax", failure.message.orEmpty(), "Export the sheet as CSV with quoted cells.")
    }
}
