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
 * Keeps the applied configuration up to date. Some nodes of a failure domain watch the change log; all take changes
 * from peers, and all read the log now and then to cover watchers that have failed.
 */
internal class ConfigurationFollower(
    private val service: KeyValueService,
    private val log: ConfigurationLog,
    private val applied: AppliedConfiguration,
    private val fleet: FleetView,
    private val clock: Clock,
    private val recorder: EventRecorder,
) : DutyHandler<ConfigurationMessage>,
    AutoCloseable {
    private val duty = Duty("configuration", this)
    private var watch: AutoCloseable? = null
    private var snapshotRevision = 0L
    private var nextReadNanos = clock.monotonicNanos()

    /** Starts following. */
    fun start(): ConfigurationFollower = apply { duty.start() }

    /** Hands [message] to the duty; a lost one is made up for by the next read of the log. */
    fun send(message: ConfigurationMessage): Either<Failure, Unit> = duty.send(message)

    override fun handle(message: ConfigurationMessage) {
        when (message) {
            ConfigurationMessage.LogChanged -> readLog()
            ConfigurationMessage.WatchEnded -> endWatch()
            is ConfigurationMessage.Changes -> recordApplied("peer") { applied.applyChanges(message.changes) }
            is ConfigurationMessage.Whole -> recordApplied("peer") { applied.replaceIfNewer(message.configuration) }
        }
    }

    override fun tick(nowNanos: Long) {
        val watcher = fleet.isConfigurationWatcher()
        if (watcher && watch == null) startWatch()
        if (!watcher && watch != null) endWatch()
        if (nowNanos >= nextReadNanos) readLog()
    }

    override fun close() {
        duty.close()
        endWatch()
    }

    private fun readLog() {
        val startedAt = clock.monotonicNanos()
        val interval = if (fleet.isConfigurationWatcher()) FRESHNESS_INTERVAL else SLOW_POLL_INTERVAL
        nextReadNanos = startedAt + interval.inWholeNanoseconds
        recordApplied("log") { read(applied.current.revision) }.onRight {
            applied.recordFreshness(startedAt)
            writeSnapshot(it)
        }
    }

    private fun read(revision: Revision): Either<Failure, OperatorConfiguration> = log.readAfter(revision).fold(
        { if (it is Failure.NotFound) log.readLatest().onRight(applied::replaceIfNewer) else Either.Left(it) },
        { applied.applyChanges(it) },
    )

    // Any node may write a snapshot; one is chosen so that not all do at the same revision.
    private fun writeSnapshot(configuration: OperatorConfiguration) {
        val due = configuration.revision.value - snapshotRevision >= SNAPSHOT_INTERVAL_CHANGES
        if (!due || !fleet.isSnapshotWriter()) return
        log.writeSnapshot(configuration).flatMap { log.trim() }.onRight {
            snapshotRevision = configuration.revision.value
            recorder.event("configuration.snapshot") { field("revision", snapshotRevision) }
        }
    }

    private fun <T> recordApplied(source: String, action: () -> T): T {
        val before = applied.current.revision
        val result = action()
        val after = applied.current.revision
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
                duty.send(ConfigurationMessage.LogChanged)
            }

            override fun ended() {
                duty.send(ConfigurationMessage.WatchEnded)
            }
        }
        service.watch(ConfigurationKeys.CHANGE_PREFIX, Revision(0), listener).onRight { watch = it }
    }

    private fun endWatch() {
        watch?.close()
        watch = null
    }
}
