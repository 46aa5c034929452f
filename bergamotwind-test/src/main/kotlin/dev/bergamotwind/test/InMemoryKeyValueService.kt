package dev.bergamotwind.test

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueListing
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.SystemClock
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.TransactionResult
import dev.bergamotwind.api.WatchListener
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Key-value service in memory. Views made by [client] share the records and have faults of their own. */
public class InMemoryKeyValueService(private val clock: Clock = SystemClock) {
    private class Lease(val timeToLive: Duration, var endNanos: Long)

    private val records = sortedMapOf<String, KeyValueEntry>()
    private val leases = mutableMapOf<LeaseId, Lease>()
    private val history = ArrayDeque<KeyValueChange>()
    private val watches = mutableListOf<KeyValueWatch>()
    private var revision = 1L
    private var compacted = 0L
    private var lastLease = 0L
    private val callCount = AtomicLong()

    /** Number of calls so far, by all clients. */
    public val calls: Long get() = callCount.get()

    /** Returns a view of this service that fails as [faults] say. */
    public fun client(faults: KeyValueFaults = KeyValueFaults()): KeyValueService = Client(faults)

    /** Forgets the history up to the current revision, so that a watch from an older revision ends at once. */
    @Synchronized
    public fun compact() {
        compacted = revision
        history.clear()
    }

    @Synchronized
    private fun get(key: String): KeyValueEntry? {
        expireLeases()
        return records[key]
    }

    /** Returns the records whose key [matches], in key order or its reverse; a [limit] of 0 returns all. */
    @Synchronized
    internal fun select(limit: Int, newestFirst: Boolean, matches: (String) -> Boolean): KeyValueListing {
        expireLeases()
        val selected = records.values.filter { matches(it.key) }
        val ordered = if (newestFirst) selected.reversed() else selected
        return KeyValueListing(if (limit > 0) ordered.take(limit) else ordered, Revision(revision))
    }

    private fun list(range: KeyRange): KeyValueListing =
        select(range.limit, range.newestFirst) { it.startsWith(range.prefix) && it >= range.from }

    private fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        TransactionLimits.refusalOf(transaction)?.let { return it.left() }
        return synchronized(this) { apply(transaction) }.also { deliver() }
    }

    private fun apply(transaction: Transaction): Either<Failure, TransactionResult> {
        expireLeases()
        if (!transaction.compares.all(::holds)) return TransactionResult(false, Revision(revision)).right()
        val missing = transaction.operations.filterIsInstance<Operation.Put>().mapNotNull { it.lease }
            .firstOrNull { it !in leases }
        if (missing != null) return Failure.LeaseExpired(missing).left()
        commit(transaction.operations.filter { it is Operation.Put || it.key in records })
        return TransactionResult(true, Revision(revision)).right()
    }

    private fun holds(compare: Compare): Boolean = when (compare) {
        is Compare.Absent -> compare.key !in records
        is Compare.ModifiedAt -> records[compare.key]?.modificationRevision == compare.revision
        is Compare.CreatedAt -> records[compare.key]?.createRevision == compare.revision
    }

    private fun commit(operations: List<Operation>) {
        if (operations.isEmpty()) return
        revision++
        val changes = operations.map { KeyValueChange(revision, it.key, perform(it)) }
        history.addAll(changes)
        while (history.size > HISTORY_LIMIT) compacted = history.removeFirst().revision
        watches.forEach { it.offer(changes) }
    }

    private fun perform(operation: Operation): KeyValueEntry? = when (operation) {
        is Operation.Delete -> {
            records.remove(operation.key)
            null
        }

        is Operation.Put -> {
            val created = records[operation.key]?.createRevision ?: Revision(revision)
            KeyValueEntry(operation.key, operation.value, created, Revision(revision), operation.lease)
                .also { records[operation.key] = it }
        }
    }

    @Synchronized
    private fun grantLease(timeToLive: Duration): LeaseId {
        val lease = LeaseId(++lastLease)
        leases[lease] = Lease(timeToLive, clock.monotonicNanos() + timeToLive.inWholeNanoseconds)
        return lease
    }

    @Synchronized
    private fun keepAlive(id: LeaseId): Either<Failure, Duration> {
        expireLeases()
        val lease = leases[id] ?: return Failure.LeaseExpired(id).left()
        lease.endNanos = clock.monotonicNanos() + lease.timeToLive.inWholeNanoseconds
        return lease.timeToLive.right()
    }

    private fun revokeLease(id: LeaseId) {
        synchronized(this) { endLease(id) }
        deliver()
    }

    private fun endLease(id: LeaseId) {
        leases.remove(id)
        commit(records.values.filter { it.lease == id }.map { Operation.Delete(it.key) })
    }

    private fun expireLeases() {
        val now = clock.monotonicNanos()
        leases.filterValues { (it.endNanos - now).nanoseconds <= Duration.ZERO }.keys.toList().forEach(::endLease)
    }

    /**
     * Watches the keys that [matches] selects from revision [from] on, or from now on if it is 0; null when that
     * history is forgotten.
     */
    internal fun observe(
        from: Revision,
        matches: (String) -> Boolean,
        sink: (List<KeyValueChange>) -> Unit,
    ): AutoCloseable? {
        val watch = KeyValueWatch(matches, sink)
        synchronized(this) {
            if (from.value in 1..compacted) return null
            if (from.value > 0) watch.offer(history.filter { it.revision >= from.value })
            watches += watch
        }
        watch.drain()
        return AutoCloseable { synchronized(this) { watches.remove(watch) } }
    }

    // Listeners run outside the lock: one that calls the service from another thread would otherwise deadlock.
    private fun deliver() = synchronized(this) { watches.toList() }.forEach { it.drain() }

    private fun watch(prefix: String, from: Revision, listener: WatchListener): AutoCloseable {
        val sink: (List<KeyValueChange>) -> Unit = { changes ->
            changes.mapNotNull { it.entry }.takeIf { it.isNotEmpty() }?.let(listener::written)
        }
        return observe(from, { it.startsWith(prefix) }, sink) ?: AutoCloseable { }.also { listener.ended() }
    }

    private inner class Client(private val faults: KeyValueFaults) : KeyValueService {
        private val service = this@InMemoryKeyValueService

        override fun get(key: String): Either<Failure, KeyValueEntry?> = read { service.get(key) }

        override fun list(range: KeyRange): Either<Failure, KeyValueListing> = read { service.list(range) }

        override fun transact(transaction: Transaction): Either<Failure, TransactionResult> =
            write { service.transact(transaction) }

        override fun grantLease(timeToLive: Duration): Either<Failure, LeaseId> =
            write { service.grantLease(timeToLive).right() }

        override fun keepAlive(lease: LeaseId): Either<Failure, Duration> = write { service.keepAlive(lease) }

        override fun revokeLease(lease: LeaseId): Either<Failure, Unit> = write { service.revokeLease(lease).right() }

        override fun watch(prefix: String, fromRevision: Revision, listener: WatchListener) =
            read { service.watch(prefix, fromRevision, listener) }

        private fun <T> read(action: () -> T): Either<Failure, T> {
            arrive()
            return if (faults.available) action().right() else Failure.Unavailable("key-value service is down").left()
        }

        private fun <T> write(action: () -> Either<Failure, T>): Either<Failure, T> {
            arrive()
            if (!faults.available) return Failure.Unavailable("key-value service is down").left()
            val result = action()
            return if (faults.loseAnswer()) Failure.OutcomeUnknown("the answer was lost").left() else result
        }

        private fun arrive() {
            callCount.incrementAndGet()
            val delay = faults.delay
            if (delay > Duration.ZERO) Thread.sleep(delay.inWholeMilliseconds)
        }
    }

    private companion object {
        const val HISTORY_LIMIT = 100_000
    }
}
