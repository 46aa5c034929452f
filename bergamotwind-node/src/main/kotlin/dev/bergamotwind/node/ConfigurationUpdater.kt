package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.flatMap
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.WatchListener
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.configuration.ConfigurationKeys
import dev.bergamotwind.configuration.ConfigurationLog
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.SNAPSHOT_INTERVAL_CHANGES
import dev.bergamotwind.core.Duty
import dev.bergamotwind.core.DutyHandler
import dev.bergamotwind.core.event

/**
 * Keeps the applied configuration up to date. Some nodes of each failure domain watch the change log. All nodes
 * receive changes from peers, and read the log at long intervals in case the watchers have failed.
 */
internal class ConfigurationUpdater(
    private val keyValueService: KeyValueService,
    private val log: ConfigurationLog,
    private val appliedConfiguration: AppliedConfiguration,
    private val responsibilities: NodeResponsibilities,
    private val clock: Clock,
    private val recorder: EventRecorder,
) : DutyHandler<ConfigurationMessage>,
    AutoCloseable {
    private val workerThread = Duty("configuration", this)
    private var watch: AutoCloseable? = null
    private var lastSnapshotRevision = 0L
    private var nextReadNanos = clock.monotonicNanos()

    /** Starts the worker thread. */
    fun start(): ConfigurationUpdater = apply { workerThread.start() }

    /** Queues [message]. If it is lost, the next read of the log compensates for it. */
    fun send(message: ConfigurationMessage): Either<Failure, Unit> = workerThread.send(message)

    override fun handle(message: ConfigurationMessage) {
        when (message) {
            ConfigurationMessage.LogChanged -> readLog()

            ConfigurationMessage.WatchEnded -> endWatch()

            is ConfigurationMessage.Changes -> recordRevisionChange("peer") {
                appliedConfiguration.applyChanges(message.changes)
            }

            is ConfigurationMessage.FullConfiguration -> recordRevisionChange("peer") {
                appliedConfiguration.replaceIfNewer(message.configuration)
            }
        }
    }

    override fun tick(nowNanos: Long) {
        val isWatcher = responsibilities.isConfigurationWatcher()
        if (isWatcher && watch == null) startWatch()
        if (!isWatcher && watch != null) endWatch()
        if (nowNanos >= nextReadNanos) readLog()
    }

    override fun close() {
        workerThread.close()
        endWatch()
    }

    private fun readLog() {
        val startNanos = clock.monotonicNanos()
        val isWatcher = responsibilities.isConfigurationWatcher()
        val interval = if (isWatcher) FRESHNESS_CHECK_INTERVAL else NON_WATCHER_POLL_INTERVAL
        nextReadNanos = startNanos + interval.inWholeNanoseconds
        recordRevisionChange("log") { readChangesAfter(appliedConfiguration.current.revision) }.onRight {
            appliedConfiguration.recordFreshness(startNanos)
            writeSnapshot(it)
        }
    }

    private fun readChangesAfter(revision: Revision): Either<Failure, OperatorConfiguration> =
        log.readAfter(revision).fold(
            {
                if (it is Failure.NotFound) {
                    log.readLatest().onRight(
                        appliedConfiguration::replaceIfNewer,
                    )
                } else {
                    Either.Left(it)
                }
            },
            { appliedConfiguration.applyChanges(it) },
        )

    // Any node could write the snapshot; one is assigned, so that not all nodes write at the same revision.
    private fun writeSnapshot(configuration: OperatorConfiguration) {
        val due = configuration.revision.value - lastSnapshotRevision >= SNAPSHOT_INTERVAL_CHANGES
        if (!due || !responsibilities.isSnapshotWriter()) return
        log.writeSnapshot(configuration).flatMap { log.trim() }.onRight {
            lastSnapshotRevision = configuration.revision.value
            recorder.event("configuration.snapshot") { field("revision", lastSnapshotRevision) }
        }
    }

    private fun <T> recordRevisionChange(source: String, action: () -> T): T {
        val before = appliedConfiguration.current.revision
        val result = action()
        val after = appliedConfiguration.current.revision
        if (after != before) {
            recorder.event("configuration.applied") {
                field("revision", after)
                field("source", source)
            }
        }
        return result
    }

    private fun startWatch() {
        val listener = object : WatchListener {
            override fun written(entries: List<KeyValueEntry>) {
                workerThread.send(ConfigurationMessage.LogChanged)
            }

            override fun ended() {
                workerThread.send(ConfigurationMessage.WatchEnded)
            }
        }
        keyValueService.watch(ConfigurationKeys.CHANGE_PREFIX, Revision(0), listener).onRight { watch = it }
    }

    private fun endWatch() {
        watch?.close()
        watch = null
    }
}
