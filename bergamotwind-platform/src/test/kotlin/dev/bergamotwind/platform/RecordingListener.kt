package dev.bergamotwind.platform

import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.WatchListener
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class RecordingListener : WatchListener {
    private val values = LinkedBlockingQueue<String>()
    private val end = CountDownLatch(1)

    override fun written(entries: List<KeyValueEntry>) = entries.forEach { values.add(it.value) }

    override fun ended() = end.countDown()

    fun take(count: Int): List<String?> = List(count) { values.poll(5, TimeUnit.SECONDS) }

    fun hasEnded(): Boolean = end.await(5, TimeUnit.SECONDS)
}
