package dev.bergamotwind.serving.call

/** One complete event of a stream as received, with its id if it has one. */
internal class StreamEvent(val id: Long?, val bytes: ByteArray)
