package dev.bergamotwind.configuration

/** Type of a setting in the TOML file. */
public enum class SettingType(
    /** Name in the reference documentation. */
    public val label: String,
) {
    /** An id: letters, digits, `.`, `_` and `-`. */
    ID("id"),

    /** Any non-empty text. */
    TEXT("string"),

    /** A secret of at least 32 characters. */
    SECRET("secret string"),

    /** A whole number. */
    INTEGER("integer"),

    /** A SHA-256 digest in lower-case hexadecimal. */
    DIGEST("SHA-256 in hexadecimal"),

    /** A list of IP addresses. */
    ADDRESSES("list of IP"),

    /** A list of `IP:PORT`. */
    ENDPOINTS("list of IP:PORT"),
}
