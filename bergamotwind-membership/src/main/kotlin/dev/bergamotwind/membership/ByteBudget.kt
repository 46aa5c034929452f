package dev.bergamotwind.membership

/**
 * Token bucket over the bytes that a node sends. The balance may become negative, because a frame is charged after it
 * is built; deferrable frames are sent only while the balance is positive.
 */
internal class ByteBudget(private val bytesPerSecond: Int, nowNanos: Long) {
    private var balanceBytes = bytesPerSecond.toDouble()
    private var lastRefillNanos = nowNanos

    fun availableBytes(nowNanos: Long): Int {
        balanceBytes += (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * bytesPerSecond
        balanceBytes = minOf(balanceBytes, bytesPerSecond.toDouble())
        lastRefillNanos = nowNanos
        return balanceBytes.toInt()
    }

    /** Charges [frameBytes] and the TCP/IP headers of one segment. */
    fun spend(frameBytes: Int) {
        balanceBytes -= frameBytes + TCP_IP_HEADER_BYTES
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
