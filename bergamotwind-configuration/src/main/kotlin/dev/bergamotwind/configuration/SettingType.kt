package dev.bergamotwind.configuration

/** Type of a setting in the TOML file. */
public enum class SettingType(
    /** Name on the settings page. */
    public val label: String,
) {
    /** An id: letters, digits, `.`, `_` and `-`. */
    ID("id"),

    /** Any text that is not empty. */
    TEXT("string"),

    /** A secret of at least 32 characters. */
    SECRET("secret string"),

    /** A whole number. */
    INTEGER("integer"),

    /** SHA-256 in lower-case hexadecimal. */
    DIGEST("SHA-256 in hexadecimal"),

    /** A list of IP addresses. */
    ADDRESSES("list of IP"),

    /** A list of `IP:PORT`. */
    ENDPOINTS("list of IP:PORT"),
}
