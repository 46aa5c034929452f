package dev.bergamotwind.membership

import java.util.concurrent.atomic.AtomicLong

/** Counts frames and their bytes, length prefixes included, without TCP/IP headers. */
internal class TrafficCounter {
    private val sentBytes = AtomicLong()
    private val receivedBytes = AtomicLong()
    private val sentFrames = AtomicLong()
    private val receivedFrames = AtomicLong()

    fun recordSent(bytes: Int) {
        sentBytes.addAndGet(bytes.toLong())
        sentFrames.incrementAndGet()
    }

    fun recordReceived(bytes: Int) {
        receivedBytes.addAndGet(bytes.toLong())
        receivedFrames.incrementAndGet()
    }

    fun snapshot(): TrafficSnapshot =
        TrafficSnapshot(sentBytes.get(), sentFrames.get(), receivedBytes.get(), receivedFrames.get())
}
