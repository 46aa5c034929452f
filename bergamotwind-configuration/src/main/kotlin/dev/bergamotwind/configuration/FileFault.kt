package dev.bergamotwind.configuration

/** A fault in a file of an operator: where it is, what is wrong and what to do. [line] counts from 1. */
public data class FileFault(
    val file: String,
    val line: Int?,
    val field: String,
    val message: String,
    val remedy: String,
) {
    /** Renders the fault as one line, `FILE:LINE: FIELD: MESSAGE. REMEDY`. */
    public fun toLine(): String = "$file${line?.let { ":$it" }.orEmpty()}: $field: $message. $remedy"

    override fun toString(): String = toLine()
}
