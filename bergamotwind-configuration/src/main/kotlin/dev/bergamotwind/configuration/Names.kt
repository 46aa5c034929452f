package dev.bergamotwind.configuration

/** Rules for ids. */
internal object Names {
    private val name = Regex("""[\p{L}\p{N}][\p{L}\p{N}._-]{0,63}""")

    // Published models are commonly named ORGANISATION/MODEL. A colon is refused: it separates the adapter.
    private val modelName = Regex("""[\p{L}\p{N}][\p{L}\p{N}._/-]{0,127}""")
    private val digest = Regex("[0-9a-f]{64}")

    /** Whether [value] may be the id of a model. */
    fun isModelName(value: String): Boolean = modelName.matches(value)

    /** Whether [value] may be the id of anything but a model. */
    fun isName(value: String): Boolean = name.matches(value)

    /** Whether [value] is a lower-case hexadecimal SHA-256 digest. */
    fun isDigest(value: String): Boolean = digest.matches(value)
}
