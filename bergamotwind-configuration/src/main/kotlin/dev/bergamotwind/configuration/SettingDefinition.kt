package dev.bergamotwind.configuration

/**
 * A setting of a node. [name] is `TABLE.KEY` in the TOML file, [default] its text on the settings page; a setting
 * without one is needed unless it is [optional]. [range] bounds integers.
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
    /** Whether the file must hold this setting. */
    public val required: Boolean get() = default == null && !optional
}
