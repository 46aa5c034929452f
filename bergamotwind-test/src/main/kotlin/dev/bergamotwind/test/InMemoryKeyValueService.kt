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

/** In-memory key-value service. Clients returned by [client] share the entries but each has its own faults. */
public class InMemoryKeyValueService(private val clock: Clock = SystemClock) {
    private class Lease(val timeToLive: Duration, var expiryNanos: Long)

    private val entries = sortedMapOf<String, KeyValueEntry>()
    private val leases = mutableMapOf<LeaseId, Lease>()
    private val history = ArrayDeque<KeyValueChange>()
    private val watches = mutableListOf<KeyValueWatch>()
    private var revision = 1L
    private var compactedRevision = 0L
    private var lastLeaseId = 0L
    private val callCount = AtomicLong()

    /** Number of calls by all clients since the start. */
    public val calls: Long get() = callCount.get()

    /** Returns a client of this service with the given [faults]. */
    public fun client(faults: KeyValueFaults = KeyValueFaults()): KeyValueService = Client(faults)

    /** Compacts the history up to the current revision; a watch from an older revision then ends immediately. */
    @Synchronized
    public fun compact() {
        compactedRevision = revision
        history.clear()
    }

    @Synchronized
    private fun get(key: String): KeyValueEntry? {
        expireLeases()
        return entries[key]
    }

    /** Returns the entries whose key [matches], in key order or its reverse; a [limit] of 0 returns all. */
    @Synchronized
    internal fun listMatching(limit: Int, newestFirst: Boolean, matches: (String) -> Boolean): KeyValueListing {
        expireLeases()
        val selected = entries.values.filter { matches(it.key) }
        val ordered = if (newestFirst) selected.reversed() else selected
        return KeyValueListing(if (limit > 0) ordered.take(limit) else ordered, Revision(revision))
    }

    private fun list(range: KeyRange): KeyValueListing =
        listMatching(range.limit, range.newestFirst) { it.startsWith(range.prefix) && it >= range.from }

    private fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        TransactionLimits.validate(transaction)?.let { return it.left() }
        return synchronized(this) { applyTransaction(transaction) }.also { deliverChanges() }
    }

    private fun applyTransaction(transaction: Transaction): Either<Failure, TransactionResult> {
        expireLeases()
        if (!transaction.compares.all(::isSatisfied)) return TransactionResult(false, Revision(revision)).right()
        val missingLease = transaction.operations.filterIsInstance<Operation.Put>().mapNotNull { it.lease }
            .firstOrNull { it !in leases }
        if (missingLease != null) return Failure.LeaseExpired(missingLease).left()
        commit(transaction.operations.filter { it is Operation.Put || it.key in entries })
        return TransactionResult(true, Revision(revision)).right()
    }

    private fun isSatisfied(compare: Compare): Boolean = when (compare) {
        is Compare.Absent -> compare.key !in entries
        is Compare.ModifiedAt -> entries[compare.key]?.modificationRevision == compare.revision
        is Compare.CreatedAt -> entries[compare.key]?.createRevision == compare.revision
    }

    private fun commit(operations: List<Operation>) {
        if (operations.isEmpty()) return
        revision++
        val changes = operations.map { KeyValueChange(revision, it.key, applyOperation(it)) }
        history.addAll(changes)
        while (history.size > HISTORY_LIMIT) compactedRevision = history.removeFirst().revision
        watches.forEach { it.enqueue(changes) }
    }

    private fun applyOperation(operation: Operation): KeyValueEntry? = when (operation) {
        is Operation.Delete -> {
            entries.remove(operation.key)
            null
        }

        is Operation.Put -> {
            val created = entries[operation.key]?.createRevision ?: Revision(revision)
            KeyValueEntry(operation.key, operation.value, created, Revision(revision), operation.lease)
                .also { entries[operation.key] = it }
        }
    }

    @Synchronized
    private fun grantLease(timeToLive: Duration): LeaseId {
        val lease = LeaseId(++lastLeaseId)
        leases[lease] = Lease(timeToLive, clock.monotonicNanos() + timeToLive.inWholeNanoseconds)
        return lease
    }

    @Synchronized
    private fun keepAlive(id: LeaseId): Either<Failure, Duration> {
        expireLeases()
        val lease = leases[id] ?: return Failure.LeaseExpired(id).left()
        lease.expiryNanos = clock.monotonicNanos() + lease.timeToLive.inWholeNanoseconds
        return lease.timeToLive.right()
    }

    private fun revokeLease(id: LeaseId) {
        synchronized(this) { removeLease(id) }
        deliverChanges()
    }

    private fun removeLease(id: LeaseId) {
        leases.remove(id)
        commit(entries.values.filter { it.lease == id }.map { Operation.Delete(it.key) })
    }

    private fun expireLeases() {
        val now = clock.monotonicNanos()
        leases.filterValues { (it.expiryNanos - now).nanoseconds <= Duration.ZERO }.keys.toList().forEach(::removeLease)
    }

    /**
     * Watches the keys that satisfy [matches] from revision [from] on, or from now on if it is 0. Returns null if
     * that part of the history is compacted.
     */
    internal fun subscribe(
        from: Revision,
        matches: (String) -> Boolean,
        onChanges: (List<KeyValueChange>) -> Unit,
    ): AutoCloseable? {
        val watch = KeyValueWatch(matches, onChanges)
        synchronized(this) {
            if (from.value in 1..compactedRevision) return null
            if (from.value > 0) watch.enqueue(history.filter { it.revision >= from.value })
            watches += watch
        }
        watch.deliverPending()
        return AutoCloseable { synchronized(this) { watches.remove(watch) } }
    }

    // Listeners run outside the lock: a listener that waits for a call by another thread would otherwise deadlock.
    private fun deliverChanges() = synchronized(this) { watches.toList() }.forEach { it.deliverPending() }

    private fun watch(prefix: String, from: Revision, listener: WatchListener): AutoCloseable {
        val onChanges: (List<KeyValueChange>) -> Unit = { changes ->
            changes.mapNotNull { it.entry }.takeIf { it.isNotEmpty() }?.let(listener::written)
        }
        return subscribe(from, { it.startsWith(prefix) }, onChanges) ?: AutoCloseable { }.also { listener.ended() }
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
            beforeCall()
            return if (faults.available) action().right() else Failure.Unavailable("key-value service is down").left()
        }

        private fun <T> write(action: () -> Either<Failure, T>): Either<Failure, T> {
            beforeCall()
            if (!faults.available) return Failure.Unavailable("key-value service is down").left()
            val result = action()
            return if (faults.loseAnswer()) Failure.OutcomeUnknown("the response was lost").left() else result
        }

        private fun beforeCall() {
            callCount.incrementAndGet()
            val delay = faults.delay
            if (delay > Duration.ZERO) Thread.sleep(delay.inWholeMilliseconds)
        }
    }

    private companion object {
        const val HISTORY_LIMIT = 100_000
    }
}
