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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Key-value service in memory. Views made by [client] share the records and have faults of their own. */
public class InMemoryKeyValueService(private val clock: Clock = SystemClock) {
    private class Lease(val timeToLive: Duration, var endNanos: Long)

    private data class Change(val revision: Long, val entry: KeyValueEntry)

    private class Watch(val prefix: String, val listener: WatchListener)

    private val records = sortedMapOf<String, KeyValueEntry>()
    private val leases = mutableMapOf<LeaseId, Lease>()
    private val history = ArrayDeque<Change>()
    private val watches = mutableListOf<Watch>()
    private var revision = 1L
    private var lastLease = 0L

    /** Number of calls so far, by all clients. */
    @Volatile
    public var calls: Long = 0
        private set

    /** Returns a view of this service that fails as [faults] say. */
    public fun client(faults: KeyValueFaults = KeyValueFaults()): KeyValueService = Client(faults)

    @Synchronized
    private fun get(key: String): KeyValueEntry? {
        expireLeases()
        return records[key]
    }

    @Synchronized
    private fun list(range: KeyRange): KeyValueListing {
        expireLeases()
        val selected = records.tailMap(maxOf(range.from, range.prefix)).values.filter {
            it.key.startsWith(range.prefix)
        }
        val ordered = if (range.newestFirst) selected.reversed() else selected
        return KeyValueListing(if (range.limit > 0) ordered.take(range.limit) else ordered, Revision(revision))
    }

    @Synchronized
    private fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        expireLeases()
        if (!transaction.compares.all(::holds)) return TransactionResult(false, Revision(revision)).right()
        val missing = transaction.operations.filterIsInstance<Operation.Put>().mapNotNull { it.lease }
            .firstOrNull { it !in leases }
        if (missing != null) return Failure.LeaseExpired(missing).left()
        revision++
        val written = transaction.operations.mapNotNull(::perform)
        for (watch in watches) {
            written.filter { it.key.startsWith(watch.prefix) }.takeIf { it.isNotEmpty() }?.let(watch.listener::written)
        }
        return TransactionResult(true, Revision(revision)).right()
    }

    private fun holds(compare: Compare): Boolean = when (compare) {
        is Compare.Absent -> compare.key !in records
        is Compare.ModifiedAt -> records[compare.key]?.modificationRevision == compare.revision
        is Compare.CreatedAt -> records[compare.key]?.createRevision == compare.revision
    }

    private fun perform(operation: Operation): KeyValueEntry? = when (operation) {
        is Operation.Delete -> {
            records.remove(operation.key)
            null
        }

        is Operation.Put -> {
            val created = records[operation.key]?.createRevision ?: Revision(revision)
            KeyValueEntry(operation.key, operation.value, created, Revision(revision), operation.lease).also {
                records[operation.key] = it
                history.addLast(Change(revision, it))
                if (history.size > HISTORY_LIMIT) history.removeFirst()
            }
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

    @Synchronized
    private fun revokeLease(id: LeaseId) {
        leases.remove(id)
        val ended = records.values.filter { it.lease == id }.map { it.key }
        if (ended.isNotEmpty()) revision++
        ended.forEach(records::remove)
    }

    private fun expireLeases() {
        val now = clock.monotonicNanos()
        leases.filterValues { (it.endNanos - now).nanoseconds <= Duration.ZERO }.keys.toList().forEach(::revokeLease)
    }

    @Synchronized
    private fun watch(prefix: String, from: Revision, listener: WatchListener): AutoCloseable {
        val missed = history.filter { it.revision >= from.value && it.entry.key.startsWith(prefix) }.map { it.entry }
        if (missed.isNotEmpty()) listener.written(missed)
        val watch = Watch(prefix, listener)
        watches += watch
        return AutoCloseable { synchronized(this) { watches.remove(watch) } }
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
            calls++
            return if (faults.available) action().right() else Failure.Unavailable("key-value service is down").left()
        }

        private fun <T> write(action: () -> Either<Failure, T>): Either<Failure, T> {
            calls++
            if (!faults.available) return Failure.Unavailable("key-value service is down").left()
            val result = action()
            return if (faults.loseAnswer()) Failure.OutcomeUnknown("the answer was lost").left() else result
        }
    }

    private companion object {
        const val HISTORY_LIMIT = 100_000
    }
}
