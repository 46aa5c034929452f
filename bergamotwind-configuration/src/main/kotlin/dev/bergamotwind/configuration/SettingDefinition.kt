package dev.bergamotwind.configuration

/**
 * Definition of a node setting. [name] is `TABLE.KEY` in the TOML file and [default] is the default in TOML syntax; a
 * setting without a default is required unless it is [optional]. [range] limits integers.
 */
public data class SettingDefinition(
    val name: String,
    val type: SettingType,
    val description: String,
    val default: String? = null,
    val unit: String = "",
    val optional: Boolean = false,
    val range: LongRange = 0L..Int.MAX_VALUE.toLong(),
) {
    /** Whether the file must contain this setting. */
    public val required: Boolean get() = default == null && !optional
}
