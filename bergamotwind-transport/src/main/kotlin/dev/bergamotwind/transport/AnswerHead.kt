package dev.bergamotwind.transport

/** What the head of an answer states about its body, RFC 9112, 6. */
internal class AnswerHead(
    private val status: Int = 0,
    /** True when the version of the answer has chunks. */
    private val hasChunks: Boolean = true,
) {
    private val lengths = mutableListOf<String>()
    private val encodings = mutableListOf<String>()

    /** False for an interim answer, which another one follows. */
    val isFinal: Boolean get() = status >= FIRST_FINAL_STATUS

    /** True when an answer of this status has no body, whatever its fields state. */
    val hasNoBody: Boolean get() = !isFinal || status == NO_CONTENT || status == NOT_MODIFIED

    /** True when the body comes in chunks. */
    val isChunked: Boolean get() = encodings.isNotEmpty()

    /** Bytes of the body, or null when they are not stated. */
    val length: Long? get() = lengths.singleOrNull()?.takeIf(LENGTH::matches)?.toLong()

    /** Why the end of the body cannot be told, or null. */
    val fault: String?
        get() = when {
            // What the target wrote is not repeated, since it is as long as it likes.
            status == SWITCHING_PROTOCOLS -> "the answer switches to a protocol that was not asked for"

            lengths.isNotEmpty() && length == null -> "the length is not one number"

            isChunked && lengths.isNotEmpty() -> "the answer has both a length and chunks"

            isChunked && !hasChunks -> "the answer has chunks, and a version without them"

            isChunked && encodings.singleOrNull()?.lowercase() != CHUNKED -> "the encoding of the body is not supported"

            hasNoBody && status != NOT_MODIFIED && (isChunked || (length ?: 0) > 0) ->
                "an answer of status $status states a body"

            else -> null
        }

    /** Adds a field line. */
    fun add(name: String, value: String) {
        when (name.lowercase()) {
            LENGTH_FIELD -> lengths += value
            ENCODING_FIELD -> encodings += value
        }
    }

    companion object {
        private const val SWITCHING_PROTOCOLS = 101
        private const val FIRST_FINAL_STATUS = 200
        private const val NO_CONTENT = 204
        private const val NOT_MODIFIED = 304
        private const val LENGTH_FIELD = "content-length"
        private const val ENCODING_FIELD = "transfer-encoding"
        private const val CHUNKED = "chunked"

        /** Fewer digits than overflow. */
        private val LENGTH = Regex("[0-9]{1,18}")

        /** True when the field [name] tells where the body ends. */
        fun isFraming(name: String): Boolean = name.lowercase().let { it == LENGTH_FIELD || it == ENCODING_FIELD }
    }
}
