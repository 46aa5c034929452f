package dev.bergamotwind.transport

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream
import java.util.BitSet

/**
 * Decides whether the bytes that one connection brings are answers in the grammar of HTTP/1.1 (RFC 9112), and where
 * each of them ends. What the grammar does not permit is a fault, also where the RFC lets a recipient repair it: two
 * recipients that repair differently see different answers.
 */
internal class AnswerSyntax(
    /** Tells, once the head of a final answer is complete, whether its request was one whose answer has no body. */
    private val answersHaveNoBody: () -> Boolean,
) {
    private enum class Part {
        STATUS_LINE,
        FIELD_LINE,
        SIZED_BODY,
        UNSIZED_BODY,
        CHUNK_SIZE_LINE,
        CHUNK_DATA,
        CHUNK_DATA_END,
        TRAILER_LINE,
    }

    private var part = Part.STATUS_LINE
    private val line = ByteArrayOutputStream()
    private var head = AnswerHead()

    /** Bytes of the body or chunk that are due. */
    private var remaining = 0L

    /** What the grammar does not permit, or null. Nothing after it is read. */
    var fault: String? = null
        private set

    /** Reads [bytes] without consuming them and returns how many of them stand before the line with the [fault]. */
    fun read(bytes: ByteBuf): Int {
        val start = bytes.readerIndex()
        var index = start
        while (index < bytes.writerIndex()) {
            val next = when (part) {
                Part.UNSIZED_BODY -> bytes.writerIndex()
                Part.SIZED_BODY, Part.CHUNK_DATA -> readBody(index, bytes.writerIndex())
                else -> readLine(bytes, index)
            }
            if (fault != null) break
            index = next
        }
        return index - start
    }

    private fun readBody(index: Int, end: Int): Int {
        val length = minOf(remaining, (end - index).toLong()).toInt()
        remaining -= length
        if (remaining == 0L) part = if (part == Part.SIZED_BODY) Part.STATUS_LINE else Part.CHUNK_DATA_END
        return index + length
    }

    private fun readLine(bytes: ByteBuf, index: Int): Int {
        val lineFeed = bytes.indexOf(index, bytes.writerIndex(), LINE_FEED)
        val next = if (lineFeed < 0) bytes.writerIndex() else lineFeed + 1
        for (position in index until next) {
            if (FORBIDDEN_BYTES[bytes.getUnsignedByte(position).toInt()]) fault = "a control byte in the ${part.text}"
        }
        bytes.getBytes(index, line, next - index)
        if (line.size() > ANSWER_HEADER_LIMIT_BYTES) fault = "the ${part.text} is too long"
        if (fault != null) return next
        val text = line.toString(Charsets.ISO_8859_1)
        if (lineFeed >= 0) {
            line.reset()
            if (text.endsWith(LINE_END)) endLine(text.removeSuffix(LINE_END)) else fail("ends without CR")
        } else if (part == Part.STATUS_LINE && !text.startsWith(PROTOCOL.take(text.length))) {
            // What is no answer may bring no line end at all.
            fail("does not begin with $PROTOCOL")
        }
        return next
    }

    private fun endLine(text: String) {
        if ('\r' in text) return fail("holds a bare CR")
        when (part) {
            Part.STATUS_LINE -> endStatusLine(text)
            Part.FIELD_LINE -> if (text.isEmpty()) endHead() else endField(text)
            Part.CHUNK_SIZE_LINE -> endChunkSize(text)
            Part.CHUNK_DATA_END -> if (text.isEmpty()) part = Part.CHUNK_SIZE_LINE else fail("is longer than stated")
            else -> if (text.isEmpty()) part = Part.STATUS_LINE else endTrailer(text)
        }
    }

    private fun endStatusLine(text: String) {
        val (minorVersion, status) = STATUS_LINE.matchEntire(text)?.destructured ?: return fail("is malformed")
        head = AnswerHead(status.toInt(), hasChunks = minorVersion != "0")
        part = Part.FIELD_LINE
    }

    private fun endField(text: String) {
        val name = fieldName(text) ?: return fail("has no valid name")
        head.add(name, text.drop(name.length + 1).trim(' ', '\t'))
    }

    private fun endTrailer(text: String) {
        val name = fieldName(text) ?: return fail("has no valid name")
        if (AnswerHead.isFraming(name)) fail("states the length of the body")
    }

    private fun endHead() {
        fault = head.fault
        remaining = head.length ?: 0
        part = when {
            head.hasNoBody || (head.isFinal && answersHaveNoBody()) -> Part.STATUS_LINE
            head.isChunked -> Part.CHUNK_SIZE_LINE
            head.length == null -> Part.UNSIZED_BODY
            remaining == 0L -> Part.STATUS_LINE
            else -> Part.SIZED_BODY
        }
    }

    private fun endChunkSize(text: String) {
        val size = CHUNK_SIZE.matchEntire(text)?.groupValues?.get(1) ?: return fail("is malformed")
        remaining = size.toLong(HEXADECIMAL)
        part = if (remaining == 0L) Part.TRAILER_LINE else Part.CHUNK_DATA
    }

    private fun fieldName(text: String): String? =
        text.substringBefore(':', "").takeIf { name -> name.isNotEmpty() && name.all { NAME_CHARACTERS[it.code] } }

    private fun fail(description: String) {
        fault = "the ${part.text} $description"
    }

    private val Part.text get() = name.lowercase().replace('_', ' ')

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val LINE_END = "\r\n"
        const val PROTOCOL = "HTTP/1."
        const val HEXADECIMAL = 16

        /** All control characters but those that may stand in a value or at the end of a line. */
        val FORBIDDEN_BYTES = bits(('\u0000'..'\u001f') + '\u007f' - "\t\r\n".toSet())

        /** Of a token, RFC 9110, 5.6.2. */
        val NAME_CHARACTERS = bits(('a'..'z') + ('A'..'Z') + ('0'..'9') + "!#$%&'*+-.^_`|~".toList())

        /** RFC 9112, 4, with the status codes of RFC 9110, 15. */
        val STATUS_LINE = Regex("HTTP/1\\.([0-9]) ([1-5][0-9]{2}) .*")

        /** RFC 9112, 7.1; fewer digits than overflow. */
        val CHUNK_SIZE = Regex("([0-9A-Fa-f]{1,15})(?:[ \t]*;.*)?")

        fun bits(characters: Iterable<Char>) = BitSet().apply { characters.forEach { set(it.code) } }
    }
}
