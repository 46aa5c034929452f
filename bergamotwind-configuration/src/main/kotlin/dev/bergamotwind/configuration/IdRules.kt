package dev.bergamotwind.configuration

/** Syntax rules for ids and digests. */
internal object IdRules {
    private val idPattern = Regex("""[\p{L}\p{N}][\p{L}\p{N}._-]{0,63}""")

    // Published models are commonly named ORGANISATION/MODEL. Colons are not allowed because they separate the adapter.
    private val modelIdPattern = Regex("""[\p{L}\p{N}][\p{L}\p{N}._/-]{0,127}""")
    private val digestPattern = Regex("[0-9a-f]{64}")

    /** Whether [value] may be the id of a model. */
    fun isValidModelId(value: String): Boolean = modelIdPattern.matches(value)

    /** Whether [value] may be the id of anything but a model. */
    fun isValidId(value: String): Boolean = idPattern.matches(value)

    /** Whether [value] is a lower-case hexadecimal SHA-256 digest. */
    fun isSha256Digest(value: String): Boolean = digestPattern.matches(value)
}
