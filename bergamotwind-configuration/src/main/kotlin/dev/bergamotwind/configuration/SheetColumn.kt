package dev.bergamotwind.configuration

/** Column of the planning sheet. */
public enum class SheetColumn(
    /** Name in the header. */
    public val label: String,
    /** Description in docs/planning-sheet.md. */
    public val description: String,
) {
    KIND("kind", "`model`, `adapter`, `route`, `team` or `key`"),
    ID("id", "id of the item; of a key, its SHA-256 digest in lower-case hexadecimal"),
    TEAM("team", "team that the key belongs to"),
    MODEL("model", "model that the adapter belongs to"),
    VERSION("version", "version of the model to serve"),
    MEMORY("memory_mib", "accelerator memory of one copy, in MiB"),
    MINIMUM_COPIES("minimum_copies", "fewest copies of the model that stay loaded; empty: 1"),
    RATE("rate_tokens_per_second", "the team's rate over all nodes, in tokens per second"),
    BURST("burst_tokens", "the team's burst over all nodes, in tokens"),
    WEIGHT("weight", "the team's weight in the queue; empty: 1"),
    MODELS("models", "models that the team may use, separated by blanks"),
    ADAPTERS("adapters", "adapters that the team may use, separated by blanks"),
    ROUTES("routes", "routes that the team may use, separated by blanks"),
    UNCONFIRMED_KEYS("unconfirmed_keys", "`serve` or `refuse`; empty: `serve`"),
    OPEN("open", "`yes` if the route needs no key; empty: `no`"),
    IDEMPOTENT("idempotent", "`yes` if calls on the route may be repeated; empty: `no`"),
}
