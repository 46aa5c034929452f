package dev.bergamotwind.configuration

/** Kind of a planning sheet row, in the order in which rows are applied: items before those that reference them. */
public enum class SheetKind(
    /** Name in the column `kind`. */
    public val label: String,
    /** Columns that a row of this kind may set besides `kind` and `id`. */
    internal val columns: Set<SheetColumn>,
) {
    /** A model. */
    MODEL("model", setOf(SheetColumn.VERSION, SheetColumn.MEMORY, SheetColumn.MINIMUM_COPIES)),

    /** An adapter. */
    ADAPTER("adapter", setOf(SheetColumn.MODEL, SheetColumn.MEMORY)),

    /** A route. */
    ROUTE("route", setOf(SheetColumn.OPEN, SheetColumn.IDEMPOTENT)),

    /** A team. */
    TEAM(
        "team",
        setOf(
            SheetColumn.RATE,
            SheetColumn.BURST,
            SheetColumn.WEIGHT,
            SheetColumn.MODELS,
            SheetColumn.ADAPTERS,
            SheetColumn.ROUTES,
            SheetColumn.UNCONFIRMED_KEYS,
        ),
    ),

    /** A key, whose id is its SHA-256 digest. */
    KEY("key", setOf(SheetColumn.TEAM)),
}
