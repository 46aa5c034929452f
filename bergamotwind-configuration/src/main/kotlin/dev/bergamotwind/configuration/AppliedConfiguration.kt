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
 * The configuration that is in effect at this node. It moves forward only: changes are applied strictly in order.
 * All functions may be called from any thread.
 */
public class AppliedConfiguration(
    private val monitor: InvariantMonitor,
    initial: OperatorConfiguration = OperatorConfiguration(),
) {
    private val listeners = CopyOnWriteArrayList<(OperatorConfiguration) -> Unit>()
    private val recent = ArrayDeque<ConfigurationChange>()
    private val freshAtNanos = AtomicLong(NEVER)

    /** The configuration in effect. */
    @Volatile
    public var current: OperatorConfiguration = initial
        private set

    /**
     * Applies those of [changes] that follow the current revision, in order, and ignores those it already has. Fails
     * with [Failure.Conflict] when a change between is missing; everything before the gap is then applied.
     */
    @Synchronized
    public fun offer(changes: List<ConfigurationChange>): Either<Failure, OperatorConfiguration> {
        for (change in changes.sortedBy { it.revision }) {
            if (change.revision > current.revision) {
                ConfigurationEditor.replay(current, change).fold({ return it.left() }, { advance(it, change) })
            } else {
                checkSame(change)
            }
        }
        return current.right()
    }

    /**
     * Takes over a whole [configuration] from a snapshot or a peer if it is newer than the current one, and returns
     * whether it was taken over.
     */
    @Synchronized
    public fun adopt(configuration: OperatorConfiguration): Boolean {
        if (configuration.revision <= current.revision) return false
        recent.clear()
        publish(configuration)
        return true
    }

    /** Calls [listener] with each configuration that is applied from now on, in order, on the applying thread. */
    public fun listen(listener: (OperatorConfiguration) -> Unit): AutoCloseable {
        listeners += listener
        return AutoCloseable { listeners -= listener }
    }

    /**
     * Returns the applied changes after [revision], for a peer that lacks them; null if this node no longer keeps all
     * of them, in which case the peer takes over the whole configuration.
     */
    @Synchronized
    public fun changesAfter(revision: Revision): List<ConfigurationChange>? {
        val changes = recent.filter { it.revision > revision }
        return changes.takeIf { revision.value + it.size >= current.revision.value }
    }

    /** Notes that all changes accepted up to [atNanos] of the monotonic clock have been applied here. */
    public fun confirmedFresh(atNanos: Long) {
        freshAtNanos.updateAndGet { if (it == NEVER || atNanos - it > 0) atNanos else it }
    }

    /** Time since the last confirmation of freshness; [Duration.INFINITE] before the first. */
    public fun freshnessAge(nowNanos: Long): Duration = freshAtNanos.get().let {
        if (it == NEVER) Duration.INFINITE else (nowNanos - it).coerceAtLeast(0).nanoseconds
    }

    private fun advance(next: OperatorConfiguration, change: ConfigurationChange) {
        monitor.check(Invariant.CONFIGURATION_MONOTONIC, next.revision == current.revision.next()) {
            "applied=${current.revision} next=${next.revision} change=${change.id}"
        }
        recent.addLast(change)
        if (recent.size > RECENT_CHANGES) recent.removeFirst()
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

    /** Two changes under one revision mean that the log has forked. */
    private fun checkSame(change: ConfigurationChange) {
        val applied = recent.firstOrNull { it.revision == change.revision } ?: return
        monitor.check(Invariant.CONFIGURATION_MONOTONIC, applied.id == change.id) {
            "revision=${change.revision} applied=${applied.id} offered=${change.id}"
        }
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
