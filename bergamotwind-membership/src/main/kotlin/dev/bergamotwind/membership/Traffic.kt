package dev.bergamotwind.membership

import java.util.concurrent.atomic.AtomicLong

/** Counts the bytes of frames, lengths included, without TCP/IP headers. */
internal class Traffic {
    private val sentBytes = AtomicLong()
    private val receivedBytes = AtomicLong()
    private val sentFrames = AtomicLong()
    private val receivedFrames = AtomicLong()

    fun sent(bytes: Int) {
        sentBytes.addAndGet(bytes.toLong())
        sentFrames.incrementAndGet()
    }

    fun received(bytes: Int) {
        receivedBytes.addAndGet(bytes.toLong())
        receivedFrames.incrementAndGet()
    }

    fun snapshot(): TrafficSnapshot =
        TrafficSnapshot(sentBytes.get(), sentFrames.get(), receivedBytes.get(), receivedFrames.get())
}
