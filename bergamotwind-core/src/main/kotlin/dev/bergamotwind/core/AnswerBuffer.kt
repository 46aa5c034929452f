package dev.bergamotwind.core

import java.io.ByteArrayOutputStream

/** A growing buffer that tells how much memory it takes. */
public class AnswerBuffer : ByteArrayOutputStream() {
    /** Bytes of memory that the buffer takes, which are up to twice those that it holds. */
    public val capacityBytes: Long get() = buf.size.toLong()
}
