package dev.bergamotwind.configuration

/** An error in a file written by an operator, with its position and remedy. [line] is 1-based. */
public data class FileError(
    val file: String,
    val line: Int?,
    val field: String,
    val message: String,
    val remedy: String,
) {
    /** Formats the error as one line, `FILE:LINE: FIELD: MESSAGE. REMEDY`. */
    public fun toLine(): String = "$file${line?.let { ":$it" }.orEmpty()}: $field: $message. $remedy"

    override fun toString(): String = toLine()
}
