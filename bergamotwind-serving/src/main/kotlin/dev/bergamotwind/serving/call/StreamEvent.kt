package dev.bergamotwind.serving.call

/** One whole event of a stream as received, with its id if it bears one. */
internal class StreamEvent(val id: Long?, val bytes: ByteArray)
