package dev.bergamotwind.configuration

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens

/** Reads one row of the planning sheet and collects its errors. An invalid cell yields a placeholder value. */
internal class SheetRowReader(
    private val file: String,
    private val line: Int,
    private val cells: Map<SheetColumn, String>,
    private val errors: MutableList<FileError>,
) {
    fun read(): SheetRow? {
        val label = text(SheetColumn.KIND)
        val kind = SheetKind.entries.firstOrNull { it.label == label }
        if (kind == null) {
            val kinds = SheetKind.entries.joinToString { it.label }
            addError(SheetColumn.KIND, "'$label' is not a row kind", "Use one of $kinds.")
            return null
        }
        for ((column, cell) in cells) {
            val allowed = column == SheetColumn.KIND || column == SheetColumn.ID || column in kind.columns
            if (!allowed && cell.isNotEmpty()) {
                addError(column, "does not apply to a row of kind $label", "Leave it empty in this row.")
            }
        }
        return SheetRow(line, kind, text(SheetColumn.ID), createEdit(kind))
    }

    private fun createEdit(kind: SheetKind): ConfigurationEdit = when (kind) {
        SheetKind.MODEL -> ConfigurationEdit.PutModel(
            Model(
                ModelId(requiredText(SheetColumn.ID)),
                requiredText(SheetColumn.VERSION),
                Mebibytes(positiveNumber(SheetColumn.MEMORY)),
                positiveNumber(SheetColumn.MINIMUM_COPIES, default = 1).toInt(),
            ),
        )

        SheetKind.ADAPTER -> ConfigurationEdit.PutAdapter(
            Adapter(
                AdapterId(requiredText(SheetColumn.ID)),
                ModelId(requiredText(SheetColumn.MODEL)),
                Mebibytes(positiveNumber(SheetColumn.MEMORY)),
            ),
        )

        SheetKind.ROUTE -> ConfigurationEdit.PutRoute(
            Route(RouteId(requiredText(SheetColumn.ID)), yesOrNo(SheetColumn.OPEN), yesOrNo(SheetColumn.IDEMPOTENT)),
        )

        SheetKind.TEAM -> ConfigurationEdit.PutTeam(createTeam())

        SheetKind.KEY ->
            ConfigurationEdit.PutKey(
                ApiKey(KeyDigest(requiredText(SheetColumn.ID)), TeamId(requiredText(SheetColumn.TEAM))),
            )
    }

    private fun createTeam() = Team(
        id = TeamId(requiredText(SheetColumn.ID)),
        ratePerSecond = Tokens(positiveNumber(SheetColumn.RATE)),
        burst = Tokens(positiveNumber(SheetColumn.BURST)),
        weight = positiveNumber(SheetColumn.WEIGHT, default = 1).toInt(),
        models = textList(SheetColumn.MODELS).map(::ModelId).toSet(),
        adapters = textList(SheetColumn.ADAPTERS).map(::AdapterId).toSet(),
        routes = textList(SheetColumn.ROUTES).map(::RouteId).toSet(),
        unconfirmedKeys = unconfirmedKeys(),
    )

    private fun unconfirmedKeys(): UnconfirmedKeys = when (text(SheetColumn.UNCONFIRMED_KEYS)) {
        "", "serve" -> UnconfirmedKeys.SERVE

        "refuse" -> UnconfirmedKeys.REFUSE

        else -> UnconfirmedKeys.SERVE.also {
            addError(SheetColumn.UNCONFIRMED_KEYS, "is neither serve nor refuse", "Write serve or refuse.")
        }
    }

    private fun text(column: SheetColumn): String = cells[column].orEmpty()

    private fun textList(column: SheetColumn): List<String> = text(column).split(' ').filter { it.isNotEmpty() }

    private fun requiredText(column: SheetColumn): String = text(column).also {
        if (it.isEmpty()) addError(column, "is empty", "Fill in the ${column.description}.")
    }

    private fun positiveNumber(column: SheetColumn, default: Long? = null): Long {
        val cell = text(column)
        if (cell.isEmpty() && default != null) return default
        val number = cell.toLongOrNull()?.takeIf { it in 1..MAXIMUM_SHEET_NUMBER }
        if (number == null) {
            addError(column, "'$cell' is no number", "Write a whole number from 1 to $MAXIMUM_SHEET_NUMBER.")
        }
        return number ?: 1
    }

    private fun yesOrNo(column: SheetColumn): Boolean = when (text(column)) {
        "yes" -> true
        "", "no" -> false
        else -> false.also { addError(column, "is neither yes nor no", "Write yes or no.") }
    }

    private fun addError(column: SheetColumn, message: String, remedy: String) {
        errors += FileError(file, line, column.label, message, remedy)
    }
}
