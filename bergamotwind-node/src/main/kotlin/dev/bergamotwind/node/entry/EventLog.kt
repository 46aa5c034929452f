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
 * Writes events as key=value lines to standard output on a thread of its own. Never blocks: with a full ring, or
 * beyond a budget of lines a second, events are dropped and counted by kind, and lines of answered requests go first.
 */
internal class EventLog : EventRecorder {
    private val ring = MpscArrayQueue<String>(RING_LINES)
    private val dropped = ConcurrentHashMap<EventKind, AtomicLong>()
    private val output = FileOutputStream(FileDescriptor.out)
    private val budget = LineBudget(LINES_PER_SECOND)

    @Volatile
    private var closed = false
    private val writer = thread(name = "log", isDaemon = true, block = ::write)

    override fun record(kind: EventKind, request: RequestId?, fields: List<EventField>) {
        val isRoutine = fields.any { it.key == OUTCOME && it.value == ANSWERED }
        val accepted = budget.take(System.nanoTime(), isRoutine) && ring.offer(line(kind, request, fields))
        if (!accepted) dropped.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
    }

    /** Writes what is left and ends. */
    fun close() {
        closed = true
        LockSupport.unpark(writer)
        writer.join(CLOSE_MILLIS)
    }

    private fun write() {
        var reportedNanos = System.nanoTime()
        while (true) {
            val text = StringBuilder()
            while (text.length < BATCH_CHARACTERS) text.append(ring.poll() ?: break)
            if (System.nanoTime() - reportedNanos > DROPS_REPORT_NANOS || closed) {
                reportedNanos = System.nanoTime()
                reportDrops(text)
            }
            if (text.isNotEmpty()) output.write(text.toString().toByteArray())
            if (closed && ring.isEmpty) return
            if (ring.isEmpty) LockSupport.parkNanos(WRITE_INTERVAL_NANOS)
        }
    }

    private fun reportDrops(text: StringBuilder) {
        for ((kind, count) in dropped) {
            val lines = count.getAndSet(0)
            if (lines == 0L) continue
            val fields = listOf(EventField("kind", kind.value), EventField("lines", lines.toString()))
            text.append(line(EventKind("log.dropped"), null, fields))
        }
    }

    private fun line(kind: EventKind, request: RequestId?, fields: List<EventField>): String = buildString {
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

        /** Lines that wait to be written; half a megabyte. */
        const val RING_LINES = 2_048
        const val BATCH_CHARACTERS = 16_384

        /** Lines a second beyond which events are dropped: four times what the busiest VM records in a usual second. */
        const val LINES_PER_SECOND = 200

        /** Pause between batches; several lines share one write. */
        const val WRITE_INTERVAL_NANOS = 100_000_000L
        const val DROPS_REPORT_NANOS = 5_000_000_000L
        const val CLOSE_MILLIS = 300L
    }
}
