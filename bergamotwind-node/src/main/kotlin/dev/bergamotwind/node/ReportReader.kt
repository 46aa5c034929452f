package dev.bergamotwind.node

import dev.bergamotwind.api.EngineControl
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.DutyHandler
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * Reads the load reports of the targets that this node is responsible for. A target that answers slowly has at most
 * one read under way, so it delays no other.
 */
internal class ReportReader(
    private val control: EngineControl,
    private val targets: () -> Collection<TargetId>,
    private val received: (EngineReport) -> Unit,
) : DutyHandler<Unit>,
    AutoCloseable {
    private val duty = Duty("reports", this, REPORT_INTERVAL)
    private val reading = ConcurrentHashMap.newKeySet<TargetId>()
    private val readers =
        ThreadPoolExecutor(0, READER_THREADS, 1, TimeUnit.MINUTES, SynchronousQueue()) { work ->
            Thread(work, "report-reader").apply { isDaemon = true }
        }

    /** Starts reading. */
    fun start(): ReportReader = apply { duty.start() }

    override fun handle(message: Unit) = Unit

    override fun tick(nowNanos: Long) {
        for (target in targets()) if (reading.add(target)) submit(target)
    }

    override fun close() {
        duty.close()
        readers.shutdownNow()
    }

    private fun submit(target: TargetId) {
        try {
            readers.execute { read(target) }
        } catch (_: RejectedExecutionException) {
            // All readers wait for slow targets; the next tick tries again.
            reading.remove(target)
        }
    }

    private fun read(target: TargetId) {
        try {
            control.report(target).onRight(received)
        } finally {
            reading.remove(target)
        }
    }

    private companion object {
        const val READER_THREADS = 16
    }
}
