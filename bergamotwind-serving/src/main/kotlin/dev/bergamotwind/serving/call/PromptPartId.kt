package dev.bergamotwind.serving.call

import kotlinx.serialization.Serializable

/** Identifies the content of a prompt part: a hash that equal parts of different requests share. */
@Serializable
@JvmInline
public value class PromptPartId(public val value: Long) {
    /** Returns the hash in hexadecimal, as callers send it. */
    override fun toString(): String = value.toULong().toString(HEXADECIMAL)

    /** Reads ids from text. */
    public companion object {
        private const val HEXADECIMAL = 16

        /** Returns the id that [text] states in hexadecimal, or null. */
        public fun parse(text: String): PromptPartId? =
            text.toULongOrNull(HEXADECIMAL)?.let { PromptPartId(it.toLong()) }
    }
}
