package dev.bergamotwind.serving

import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.api.Header
import dev.bergamotwind.serving.call.Attempt
import dev.bergamotwind.serving.call.AttemptListener
import dev.bergamotwind.serving.call.ResponseHead
import dev.bergamotwind.serving.call.TargetRequest
import dev.bergamotwind.serving.call.TargetTransport
import dev.bergamotwind.serving.placement.OrderOutcome
import dev.bergamotwind.serving.placement.OrderTransport
import dev.bergamotwind.serving.placement.TargetOrder
import dev.bergamotwind.serving.placement.TargetReport
import dev.bergamotwind.serving.store.FleetStore
import dev.bergamotwind.serving.store.StoreChange
import dev.bergamotwind.serving.store.StoreChanges
import dev.bergamotwind.serving.store.StoreEra
import dev.bergamotwind.serving.store.StoreFailure
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.store.StoreLease
import dev.bergamotwind.serving.store.StorePage
import dev.bergamotwind.serving.store.StoreReply
import dev.bergamotwind.serving.store.StoreWrite
import dev.bergamotwind.serving.targets.TargetRecord
import dev.bergamotwind.serving.targets.TargetStatement

/** Records what a caller receives. */
class FakeExchange : CallerExchange {
    override var onGone: (() -> Unit)? = null
    override var onWritable: (() -> Unit)? = null
    override var isWritable = true
    var status: Int? = null
    var headers: List<Header> = emptyList()
    var body = ""
    var isComplete = false
    var isAborted = false

    override fun answer(status: Int, headers: List<Header>, body: ByteArray, close: Boolean) {
        start(status, headers, close)
        write(body)
        finish()
    }

    override fun start(status: Int, headers: List<Header>, close: Boolean) {
        check(this.status == null) { "two answers" }
        this.status = status
        this.headers = headers
    }

    override fun write(bytes: ByteArray) {
        body += bytes.decodeToString()
    }

    override fun finish() {
        isComplete = true
    }

    override fun abort() {
        isAborted = true
    }
}

/** Counts how often idle connections were closed. */
class FakeCallers : CallerConnections {
    override var hasUnsentAnswers = false
    var idleCloses = 0

    override fun closeIdle() {
        idleCloses++
    }
}

/** Records the attempts; the test answers them. */
class FakeTargets : TargetTransport {
    class Sent(val target: TargetRecord, val request: TargetRequest, val listener: AttemptListener) : Attempt {
        var isCancelled = false
        var isPaused = false

        override fun cancel() {
            isCancelled = true
        }

        override fun pauseReading(paused: Boolean) {
            isPaused = paused
        }

        fun head(
            status: Int,
            notRun: Boolean = false,
            isSigned: Boolean = !notRun,
            isOwn: Boolean = true,
            limit: Double? = null,
            statement: TargetStatement = TargetStatement(),
        ) = listener.onHead(
            ResponseHead(status, emptyList(), notRun, status == 421, false, isSigned, isOwn, null, limit, statement),
        )

        fun answer(
            status: Int,
            body: String = "body",
            notRun: Boolean = false,
            isSigned: Boolean = !notRun,
            limit: Double? = null,
            statement: TargetStatement = TargetStatement(),
        ) {
            head(status, notRun, isSigned, limit = limit, statement = statement)
            listener.onBody(body.toByteArray())
            listener.onComplete()
        }

        fun event(id: Long) = listener.onBody("id: $id\ndata: token$id\n\n".toByteArray())
    }

    val sent = mutableListOf<Sent>()

    override fun send(target: TargetRecord, request: TargetRequest, listener: AttemptListener): Attempt =
        Sent(target, request, listener).also { sent += it }
}

/** Records the orders and answers them with [onReport] and [onOrder]. */
class FakeOrders : OrderTransport {
    override var onStatement: ((TargetRecord, TargetStatement, Long) -> Unit)? = null
    var onReport: (TargetRecord) -> TargetReport? = { TargetReport(it.models, false, 0) }
    var onOrder: (
        TargetRecord,
        TargetOrder,
        (OrderOutcome) -> Unit,
    ) -> Unit = { _, _, reply -> reply(OrderOutcome.ACCEPTED) }
    val sentOrders = mutableListOf<TargetOrder>()

    override fun requestReport(target: TargetRecord, reply: (TargetReport?) -> Unit) = reply(onReport(target))

    override fun sendOrder(
        target: TargetRecord,
        order: TargetOrder,
        isPermitted: () -> Boolean,
        reply: (OrderOutcome) -> Unit,
    ): () -> Unit {
        if (isPermitted()) {
            sentOrders += order
            onOrder(target, order, reply)
        } else {
            reply(OrderOutcome.NOT_SENT)
        }
        return {}
    }
}

/** An in-memory store. With [failure] calls fail; with [losesAnswers] they take effect, but the answers are lost. */
class FakeStore(private val loop: ManualLoop) : FleetStore {
    private class Watch(val prefix: String, val after: Long, val reply: StoreReply<StoreChanges>)

    override var onEra: ((StoreEra?) -> Boolean)? = null
    val items = sortedMapOf<String, StoreItem>()
    private val changeLog = mutableListOf<StoreChange>()
    private val watches = mutableListOf<Watch>()
    private val leases = HashMap<Long, Pair<Long, () -> Unit>>()
    private var revision = 1L
    private var lastLeaseId = 100L

    /** The era that answers name, or null while this store names none. */
    var era: StoreEra? = null
        private set
    private var compactedUntil = 0L
    var failure: StoreFailure? = null
    var losesAnswers = false
    var calls = 0
    var pageSize = Int.MAX_VALUE
    var onPage: () -> Unit = {}

    fun put(key: String, value: ByteArray, lease: Long = 0) {
        revision++
        val created = items[key]?.createRevision ?: revision
        val item = StoreItem(key, value, revision, created, lease)
        items[key] = item
        recordChange(StoreChange(key, revision, item))
    }

    fun remove(key: String) {
        if (items.remove(key) != null) recordChange(StoreChange(key, ++revision, null))
    }

    fun compactHistory() {
        compactedUntil = revision
        watches.toList().forEach { endWatch(it) { reply -> reply(StoreFailure.HISTORY_GONE.left()) } }
    }

    /** What the store holds at one moment. */
    class Copy internal constructor(
        internal val items: Map<String, StoreItem>,
        internal val revision: Long,
        internal val leases: Map<Long, Long>,
        internal val lastLeaseId: Long,
    )

    /** Starts to name an era in each answer. */
    fun nameEra() {
        era = StoreEra(1)
    }

    fun copy() = Copy(items.toMap(), revision, leases.mapValues { it.value.first }, lastLeaseId)

    /** Returns to [copy]: what was written since is gone, and revisions and ids of leases are given out again. */
    fun restore(copy: Copy) {
        era = StoreEra((era?.number ?: 0) + 1)
        leases.values.forEach { (_, cancel) -> cancel() }
        leases.clear()
        copy.leases.forEach { (id, timeToLive) -> leases[id] = timeToLive to scheduleExpiry(id, timeToLive) }
        items.clear()
        items.putAll(copy.items)
        revision = copy.revision
        lastLeaseId = copy.lastLeaseId
        changeLog.removeIf { it.revision > revision }
        failWatches()
    }

    fun failWatches() = watches.toList().forEach { endWatch(it) { reply -> reply(StoreFailure.UNKNOWN.left()) } }

    override fun readRange(prefix: String, after: String?, reply: StoreReply<StorePage>) = replyLater(reply) {
        onPage()
        val rest = items.values.filter { it.key.startsWith(prefix) && (after == null || it.key > after) }
        StorePage(rest.take(pageSize), rest.size > pageSize, revision).right()
    }

    override fun watch(prefix: String, after: Long, waitMillis: Long, reply: StoreReply<StoreChanges>): () -> Unit {
        calls++
        val watch = Watch(prefix, after, reply)
        val failing = failure
        when {
            failing != null -> loop.schedule(1) { reply(failing.left()) }

            after < compactedUntil || after > revision -> loop.schedule(1) { reply(StoreFailure.HISTORY_GONE.left()) }

            else -> {
                watches += watch
                loop.schedule(1) { deliver() }
                loop.schedule(waitMillis) { endWatch(watch) { it(StoreChanges(emptyList(), revision).right()) } }
            }
        }
        return { watches -= watch }
    }

    override fun write(write: StoreWrite, reply: StoreReply<Long>) = replyLater(reply) {
        if (write.expectedRevisions.any { (key, expected) -> (items[key]?.revision ?: 0) != expected }) {
            StoreFailure.CONFLICT.left()
        } else if (write.puts.any { it.lease != 0L && it.lease !in leases }) {
            StoreFailure.MISSING.left()
        } else {
            write.puts.forEach { put(it.key, it.value, it.lease) }
            write.deletes.forEach(::remove)
            revision.right()
        }
    }

    override fun grantLease(timeToLiveMillis: Long, reply: StoreReply<StoreLease>) = replyLater(reply) {
        val id = ++lastLeaseId
        leases[id] = timeToLiveMillis to scheduleExpiry(id, timeToLiveMillis)
        StoreLease(id, timeToLiveMillis).right()
    }

    override fun renewLease(lease: Long, reply: StoreReply<Long>) = replyLater(reply) {
        val (timeToLive, cancel) = leases[lease] ?: return@replyLater StoreFailure.MISSING.left()
        cancel()
        leases[lease] = timeToLive to scheduleExpiry(lease, timeToLive)
        timeToLive.right()
    }

    override fun revokeLease(lease: Long, reply: StoreReply<Unit>) = replyLater(reply) {
        expire(lease)
        Unit.right()
    }

    fun expire(lease: Long) {
        leases.remove(lease)?.second?.invoke()
        items.values.filter { it.lease == lease }.forEach { remove(it.key) }
    }

    private fun scheduleExpiry(id: Long, timeToLive: Long) = loop.schedule(timeToLive) { expire(id) }

    private fun <T> replyLater(reply: StoreReply<T>, effect: () -> arrow.core.Either<StoreFailure, T>) {
        calls++
        val failing = failure
        loop.schedule(1) {
            val result = if (failing == null) effect() else failing.left()
            loop.schedule(1) { reply(if (losesAnswers) StoreFailure.UNKNOWN.left() else result) }
        }
    }

    private fun recordChange(change: StoreChange) {
        changeLog += change
        loop.schedule(0) { deliver() }
    }

    private fun deliver() {
        for (watch in watches.toList()) {
            val changes = changeLog.filter { it.revision > watch.after && it.key.startsWith(watch.prefix) }
            if (changes.isNotEmpty()) endWatch(watch) { it(StoreChanges(changes, revision).right()) }
        }
    }

    private fun endWatch(watch: Watch, answer: (StoreReply<StoreChanges>) -> Unit) {
        if (watches.remove(watch)) answer(watch.reply)
    }
}

/** The store as one VM reaches it, which hears the era with each answer. */
open class EraReportingStore(private val store: FakeStore) : FleetStore by store {
    override var onEra: ((StoreEra?) -> Boolean)? = null

    override fun readRange(prefix: String, after: String?, reply: StoreReply<StorePage>) =
        store.readRange(prefix, after, reporting(reply))

    override fun watch(prefix: String, after: Long, waitMillis: Long, reply: StoreReply<StoreChanges>): () -> Unit {
        var isCancelled = false
        val cancel = store.watch(prefix, after, waitMillis) { if (!isCancelled) reporting(reply)(it) }
        return {
            isCancelled = true
            cancel()
        }
    }

    override fun write(write: StoreWrite, reply: StoreReply<Long>) = store.write(write, reporting(reply))

    override fun grantLease(timeToLiveMillis: Long, reply: StoreReply<StoreLease>) =
        store.grantLease(timeToLiveMillis, reporting(reply))

    override fun renewLease(lease: Long, reply: StoreReply<Long>) = store.renewLease(lease, reporting(reply))

    override fun revokeLease(lease: Long, reply: StoreReply<Unit>) = store.revokeLease(lease, reporting(reply))

    private fun <T> reporting(reply: StoreReply<T>): StoreReply<T> =
        { reply(if (onEra?.invoke(store.era) == false) StoreFailure.UNKNOWN.left() else it) }
}
