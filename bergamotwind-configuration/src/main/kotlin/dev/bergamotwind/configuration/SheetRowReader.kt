package dev.bergamotwind.configuration

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens

/** Reads one row of the planning sheet and collects its faults. A faulty cell reads as an empty one. */
internal class SheetRowReader(
    private val file: String,
    private val line: Int,
    private val cells: Map<SheetColumn, String>,
    private val faults: MutableList<FileFault>,
) {
    fun read(): SheetRow? {
        val label = text(SheetColumn.KIND)
        val kind = SheetKind.entries.firstOrNull { it.label == label }
        if (kind == null) {
            val kinds = SheetKind.entries.joinToString { it.label }
            fault(SheetColumn.KIND, "'$label' is no kind", "Use one of $kinds.")
            return null
        }
        for ((column, cell) in cells) {
            val known = column == SheetColumn.KIND || column == SheetColumn.ID || column in kind.columns
            if (!known && cell.isNotEmpty()) fault(column, "does not concern a $label", "Leave it empty in this row.")
        }
        return SheetRow(line, kind, text(SheetColumn.ID), edit(kind))
    }

    private fun edit(kind: SheetKind): ConfigurationEdit = when (kind) {
        SheetKind.MODEL -> ConfigurationEdit.PutModel(
            Model(
                ModelId(needed(SheetColumn.ID)),
                needed(SheetColumn.VERSION),
                Mebibytes(number(SheetColumn.MEMORY)),
                number(SheetColumn.MINIMUM_COPIES, default = 1).toInt(),
            ),
        )

        SheetKind.ADAPTER -> ConfigurationEdit.PutAdapter(
            Adapter(
                AdapterId(needed(SheetColumn.ID)),
                ModelId(needed(SheetColumn.MODEL)),
                Mebibytes(number(SheetColumn.MEMORY)),
            ),
        )

        SheetKind.ROUTE -> ConfigurationEdit.PutRoute(
            Route(RouteId(needed(SheetColumn.ID)), yes(SheetColumn.OPEN), yes(SheetColumn.IDEMPOTENT)),
        )

        SheetKind.TEAM -> ConfigurationEdit.PutTeam(team())

        SheetKind.KEY ->
            ConfigurationEdit.PutKey(ApiKey(KeyDigest(needed(SheetColumn.ID)), TeamId(needed(SheetColumn.TEAM))))
    }

    private fun team() = Team(
        id = TeamId(needed(SheetColumn.ID)),
        ratePerSecond = Tokens(number(SheetColumn.RATE)),
        burst = Tokens(number(SheetColumn.BURST)),
        weight = number(SheetColumn.WEIGHT, default = 1).toInt(),
        models = list(SheetColumn.MODELS).map(::ModelId).toSet(),
        adapters = list(SheetColumn.ADAPTERS).map(::AdapterId).toSet(),
        routes = list(SheetColumn.ROUTES).map(::RouteId).toSet(),
        unconfirmedKeys = unconfirmedKeys(),
    )

    private fun unconfirmedKeys(): UnconfirmedKeys = when (text(SheetColumn.UNCONFIRMED_KEYS)) {
        "", "serve" -> UnconfirmedKeys.SERVE

        "refuse" -> UnconfirmedKeys.REFUSE

        else -> UnconfirmedKeys.SERVE.also {
            fault(SheetColumn.UNCONFIRMED_KEYS, "is neither serve nor refuse", "Write serve or refuse.")
        }
    }

    private fun text(column: SheetColumn): String = cells[column].orEmpty()

    private fun list(column: SheetColumn): List<String> = text(column).split(' ').filter { it.isNotEmpty() }

    private fun needed(column: SheetColumn): String = text(column).also {
        if (it.isEmpty()) fault(column, "is empty", "Fill in the ${column.description}.")
    }

    private fun number(column: SheetColumn, default: Long? = null): Long {
        val cell = text(column)
        if (cell.isEmpty() && default != null) return default
        val number = cell.toLongOrNull()?.takeIf { it in 1..MAXIMUM_SHEET_NUMBER }
        if (number == null) {
            fault(column, "'$cell' is no number", "Write a whole number from 1 to $MAXIMUM_SHEET_NUMBER.")
        }
        return number ?: 1
    }

    private fun yes(column: SheetColumn): Boolean = when (text(column)) {
        "yes" -> true
        "", "no" -> false
        else -> false.also { fault(column, "is neither yes nor no", "Write yes or no.") }
    }

    private fun fault(column: SheetColumn, message: String, remedy: String) {
        faults += FileFault(file, line, column.label, message, remedy)
    }
}
