package dev.bergamotwind.node.entry

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.RequestId
import org.jctools.queues.MpscArrayQueue
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.time.Instant
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

/**
 * Writes events as key=value lines to standard output on its own thread. Recording never blocks: if the queue is full
 * or the rate limit exceeded, events are dropped and counted by kind, those of answered requests first.
 */
internal class EventLog : EventRecorder {
    private val queue = MpscArrayQueue<String>(QUEUE_CAPACITY_LINES)
    private val dropped = ConcurrentHashMap<EventKind, AtomicLong>()
    private val output = FileOutputStream(FileDescriptor.out)
    private val rateLimiter = LogRateLimiter(LINES_PER_SECOND)

    @Volatile
    private var closed = false
    private val writer = thread(name = "log", isDaemon = true, block = ::writeLines)

    override fun record(kind: EventKind, request: RequestId?, fields: List<EventField>) {
        val isRoutine = fields.any { it.key == OUTCOME && it.value == ANSWERED }
        val accepted =
            rateLimiter.tryAcquire(System.nanoTime(), isRoutine) && queue.offer(formatLine(kind, request, fields))
        if (!accepted) dropped.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
    }

    /** Writes the queued lines and stops the writer thread. */
    fun close() {
        closed = true
        LockSupport.unpark(writer)
        writer.join(CLOSE_TIMEOUT_MILLIS)
    }

    private fun writeLines() {
        var lastDropReportNanos = System.nanoTime()
        while (true) {
            val text = StringBuilder()
            while (text.length < BATCH_CHARACTERS) text.append(queue.poll() ?: break)
            if (System.nanoTime() - lastDropReportNanos > DROP_REPORT_INTERVAL_NANOS || closed) {
                lastDropReportNanos = System.nanoTime()
                appendDropCounts(text)
            }
            if (text.isNotEmpty()) output.write(text.toString().toByteArray())
            if (closed && queue.isEmpty) return
            if (queue.isEmpty) LockSupport.parkNanos(WRITE_INTERVAL_NANOS)
        }
    }

    private fun appendDropCounts(text: StringBuilder) {
        for ((kind, count) in dropped) {
            val lines = count.getAndSet(0)
            if (lines == 0L) continue
            val fields = listOf(EventField("kind", kind.value), EventField("lines", lines.toString()))
            text.append(formatLine(EventKind("log.dropped"), null, fields))
        }
    }

    private fun formatLine(kind: EventKind, request: RequestId?, fields: List<EventField>): String = buildString {
        append("time=").append(Instant.now()).append(" event=").append(kind)
        if (request != null) append(" request=").append(request)
        for (field in fields) {
            append(' ').append(field.key).append('=')
            if (field.value.any { it == ' ' || it == '"' || it == '\n' }) {
                append('"').append(field.value.replace('"', '\'').replace('\n', ' ')).append('"')
            } else {
                append(field.value)
            }
        }
        append('\n')
    }

    private companion object {
        const val OUTCOME = "outcome"
        const val ANSWERED = "answered"

        /** Capacity of the queue of lines to write, about half a megabyte. */
        const val QUEUE_CAPACITY_LINES = 2_048
        const val BATCH_CHARACTERS = 16_384

        /** Rate limit in lines per second: four times the usual rate of the busiest VM. */
        const val LINES_PER_SECOND = 200

        /** Pause between writes, so that several lines share one write. */
        const val WRITE_INTERVAL_NANOS = 100_000_000L
        const val DROP_REPORT_INTERVAL_NANOS = 5_000_000_000L
        const val CLOSE_TIMEOUT_MILLIS = 300L
    }
}
