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
 * Reads the load reports of the targets assigned to this node. At most one read per target is in progress, so a target
 * that responds slowly does not delay the reads of others.
 */
internal class TargetReportReader(
    private val engineControl: EngineControl,
    private val assignedTargets: () -> Collection<TargetId>,
    private val onReport: (EngineReport) -> Unit,
) : DutyHandler<Unit>,
    AutoCloseable {
    private val workerThread = Duty("reports", this, REPORT_READ_INTERVAL)
    private val readsInProgress = ConcurrentHashMap.newKeySet<TargetId>()
    private val readerPool =
        ThreadPoolExecutor(0, READER_THREADS, 1, TimeUnit.MINUTES, SynchronousQueue()) { work ->
            Thread(work, "report-reader").apply { isDaemon = true }
        }

    /** Starts the worker thread. */
    fun start(): TargetReportReader = apply { workerThread.start() }

    override fun handle(message: Unit) = Unit

    override fun tick(nowNanos: Long) {
        for (target in assignedTargets()) if (readsInProgress.add(target)) submitRead(target)
    }

    override fun close() {
        workerThread.close()
        readerPool.shutdownNow()
    }

    private fun submitRead(target: TargetId) {
        try {
            readerPool.execute { readReport(target) }
        } catch (_: RejectedExecutionException) {
            // All threads wait for slow targets; the next tick retries.
            readsInProgress.remove(target)
        }
    }

    private fun readReport(target: TargetId) {
        try {
            engineControl.report(target).onRight(onReport)
        } finally {
            readsInProgress.remove(target)
        }
    }

    private companion object {
        const val READER_THREADS = 16
    }
}
