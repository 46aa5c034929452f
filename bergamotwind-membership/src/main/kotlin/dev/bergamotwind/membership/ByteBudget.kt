package dev.bergamotwind.membership

/**
 * Token bucket over the bytes that a node sends. It may go into debt, because a frame is counted after it is built;
 * what can wait is sent only while bytes are available.
 */
internal class ByteBudget(private val bytesPerSecond: Int, nowNanos: Long) {
    private var available = bytesPerSecond.toDouble()
    private var refilledNanos = nowNanos

    fun available(nowNanos: Long): Int {
        available += (nowNanos - refilledNanos) / NANOS_PER_SECOND * bytesPerSecond
        available = minOf(available, bytesPerSecond.toDouble())
        refilledNanos = nowNanos
        return available.toInt()
    }

    /** Takes [frameBytes] and the headers of one segment. */
    fun spend(frameBytes: Int) {
        available -= frameBytes + HEADER_BYTES
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
