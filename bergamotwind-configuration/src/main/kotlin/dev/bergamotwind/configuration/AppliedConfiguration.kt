package dev.bergamotwind.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.Revision
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The configuration in effect at this node. Its revision only increases: changes are applied strictly in order.
 * Thread-safe.
 */
public class AppliedConfiguration(
    private val monitor: InvariantMonitor,
    initial: OperatorConfiguration = OperatorConfiguration(),
) {
    private val listeners = CopyOnWriteArrayList<(OperatorConfiguration) -> Unit>()
    private val recentChanges = ArrayDeque<ConfigurationChange>()
    private val confirmedAtNanos = AtomicLong(NEVER)

    /** The configuration in effect. */
    @Volatile
    public var current: OperatorConfiguration = initial
        private set

    /**
     * Applies those of [changes] that are newer than the current revision, in order, and skips the others. Fails with
     * [Failure.Conflict] at a gap in the revisions; the changes before the gap stay applied.
     */
    @Synchronized
    public fun applyChanges(changes: List<ConfigurationChange>): Either<Failure, OperatorConfiguration> {
        for (change in changes.sortedBy { it.revision }) {
            if (change.revision > current.revision) {
                ConfigurationEditor.replay(current, change).fold({ return it.left() }, { applyNext(it, change) })
            } else {
                checkNotForked(change)
            }
        }
        return current.right()
    }

    /**
     * Replaces the current configuration by [configuration], which comes from a snapshot or a peer, if that is newer.
     * Returns whether it was replaced.
     */
    @Synchronized
    public fun replaceIfNewer(configuration: OperatorConfiguration): Boolean {
        if (configuration.revision <= current.revision) return false
        recentChanges.clear()
        publish(configuration)
        return true
    }

    /**
     * Registers [listener], which is called in order and on the applying thread with each configuration applied from
     * now on. Closing the result removes it.
     */
    public fun addListener(listener: (OperatorConfiguration) -> Unit): AutoCloseable {
        listeners += listener
        return AutoCloseable { listeners -= listener }
    }

    /**
     * Returns the applied changes after [revision] for a peer that lags behind, or null if this node no longer retains
     * all of them; the peer then needs the whole configuration.
     */
    @Synchronized
    public fun changesAfter(revision: Revision): List<ConfigurationChange>? {
        val changes = recentChanges.filter { it.revision > revision }
        return changes.takeIf { revision.value + it.size >= current.revision.value }
    }

    /** Records that all changes accepted up to [atNanos] of the monotonic clock have been applied here. */
    public fun recordFreshness(atNanos: Long) {
        confirmedAtNanos.updateAndGet { if (it == NEVER || atNanos - it > 0) atNanos else it }
    }

    /** Time since the last confirmation of freshness; [Duration.INFINITE] before the first. */
    public fun freshnessAge(nowNanos: Long): Duration = confirmedAtNanos.get().let {
        if (it == NEVER) Duration.INFINITE else (nowNanos - it).coerceAtLeast(0).nanoseconds
    }

    private fun applyNext(next: OperatorConfiguration, change: ConfigurationChange) {
        monitor.check(Invariant.CONFIGURATION_MONOTONIC, next.revision == current.revision.next()) {
            "applied=${current.revision} next=${next.revision} change=${change.id}"
        }
        recentChanges.addLast(change)
        if (recentChanges.size > MAXIMUM_RECENT_CHANGES) recentChanges.removeFirst()
        publish(next)
    }

    private fun publish(next: OperatorConfiguration) {
        val previous = current.revision
        monitor.check(Invariant.CONFIGURATION_MONOTONIC, next.revision > previous) {
            "applied=$previous next=${next.revision}"
        }
        current = next
        listeners.forEach { it(next) }
    }

    /** Reports a violation if another change was applied with the same revision: the log has then forked. */
    private fun checkNotForked(change: ConfigurationChange) {
        val applied = recentChanges.firstOrNull { it.revision == change.revision } ?: return
        monitor.check(Invariant.CONFIGURATION_MONOTONIC, applied.id == change.id) {
            "revision=${change.revision} applied=${applied.id} offered=${change.id}"
        }
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
