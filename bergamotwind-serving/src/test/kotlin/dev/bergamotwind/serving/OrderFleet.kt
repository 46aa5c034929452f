package dev.bergamotwind.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.call.Attempt
import dev.bergamotwind.serving.call.AttemptListener
import dev.bergamotwind.serving.call.ResponseHead
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.placement.OrderKind
import dev.bergamotwind.serving.placement.OrderOutcome
import dev.bergamotwind.serving.placement.OrderTransport
import dev.bergamotwind.serving.placement.TargetOrder
import dev.bergamotwind.serving.placement.TargetReport
import dev.bergamotwind.serving.store.FleetStore
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
import java.net.InetSocketAddress
import kotlin.random.Random

/**
 * Entry VMs, a store and engines on virtual time, with the links between them: callers ask for adapters all the time,
 * so that the placement holder gives each engine several orders a second. Processes are killed, stopped, started and
 * frozen; links to the store, to engines and between VMs are cut. Each engine keeps the orders that reach it.
 */
class OrderFleet(private val vmCount: Int, private val engineCount: Int, private val random: Random) {
    /** An order that reached an engine. */
    data class Arrival(val atMillis: Long, val vm: Int, val term: Long)

    /** The machine of a VM, with its links and the process that runs there, if any. */
    private inner class Machine(val number: Int) {
        var process: Process? = null
        var isCutFromStore = false
        var isCutFromEngines = false
        var isCutFromVms = false

        /** Time at which the machine was last thawed or its links to the engines healed. */
        var healedMillis = Long.MIN_VALUE / 2

        /** Orders that a cut holds up; they arrive after it unless their sender gives them up before. */
        val heldUp = mutableListOf<Delivery>()
    }

    private class Delivery(val order: TargetOrder, val engine: Engine, val reply: (OrderOutcome) -> Unit) {
        var isGivenUp = false
    }

    private inner class Engine(val id: String, val model: ModelId) {
        val arrivals = mutableListOf<Arrival>()
        private val adapters = mutableSetOf<AdapterId>()
        private var acceptedOrders = 0L

        fun report() = TargetReport(mapOf(model to adapters.toSet()), false, acceptedOrders)

        fun apply(order: TargetOrder): OrderOutcome {
            arrivals += Arrival(loop.nowMillis(), order.holder.value.removePrefix("vm-").toInt(), order.term)
            val adapter = order.adapter
            return when {
                order.acceptedOrders != acceptedOrders -> OrderOutcome.CONFLICT

                adapter == null || order.model != model -> OrderOutcome.WRONG_TARGET

                else -> {
                    acceptedOrders++
                    if (order.kind == OrderKind.LOAD) adapters += adapter else adapters -= adapter
                    if (order.kind == OrderKind.LOAD) OrderOutcome.ACCEPTED else OrderOutcome.DONE
                }
            }
        }
    }

    /** One process; what it schedules and waits for is lost when it ends, and late when it is frozen. */
    private inner class Process(val machine: Machine, isFirstStart: Boolean) : ServingLoop {
        var isAlive = true
        var isStopping = false
        private var isFrozen = false
        private val postponed = mutableListOf<() -> Unit>()
        val deliveries = mutableListOf<Delivery>()
        val vm = ServingVm(
            Samples.settings("vm-${machine.number}")
                .copy(peerPort = FIRST_PEER_PORT + machine.number, isFirstStart = isFirstStart),
            ServingPorts(
                loop = this,
                store = LinkedStore(this),
                layout = StoreLayout("", "configuration", "targets/"),
                decoder = Decoder(),
                transport = { _, _, listener -> answer(listener) },
                orders = LinkedOrders(this),
                peers = { address, bytes -> if (isAlive) deliver(machine, address, bytes) },
                refusalHeaders = { _, _ -> emptyList() },
                callers = FakeCallers(),
                recorder = EventRecorder.None,
            ),
            Random(random.nextInt()),
        )

        override fun nowMillis() = loop.nowMillis()

        override fun wallMillis() = loop.wallMillis()

        override fun schedule(delayMillis: Long, action: () -> Unit) = loop.schedule(delayMillis) { run(action) }

        fun run(action: () -> Unit) {
            if (!isAlive) return
            if (isFrozen) postponed += action else action()
        }

        fun freeze(millis: Long) {
            isFrozen = true
            loop.schedule(millis) {
                isFrozen = false
                machine.healedMillis = loop.nowMillis()
                val waiting = postponed.toList()
                postponed.clear()
                waiting.forEach(::run)
            }
        }

        /** The kernel resets the connections of orders that are not answered. */
        fun kill() {
            isAlive = false
            deliveries.forEach { it.isGivenUp = true }
        }

        private fun answer(listener: AttemptListener): Attempt {
            schedule(ANSWER_MILLIS) {
                listener.onHead(ResponseHead(200, emptyList(), false, false, false, true, true, null))
                listener.onBody("id: 1\ndata: token\n\n".toByteArray())
                listener.onComplete()
            }
            return object : Attempt {
                override fun cancel() = Unit

                override fun pauseReading(paused: Boolean) = Unit
            }
        }
    }

    /** The store as one process reaches it: calls and answers are lost while its machine is cut off. */
    private inner class LinkedStore(private val process: Process) : FleetStore {
        override var onEra: ((StoreEra?) -> Boolean)? = null

        private fun <T> linked(timeoutMillis: Long, reply: StoreReply<T>, call: (StoreReply<T>) -> Unit) {
            var isAnswered = false
            val answer: StoreReply<T> = { result ->
                process.run {
                    if (!isAnswered) {
                        isAnswered = true
                        reply(if (onEra?.invoke(store.era) == false) StoreFailure.UNKNOWN.left() else result)
                    }
                }
            }
            if (!process.machine.isCutFromStore) call { if (!process.machine.isCutFromStore) answer(it) }
            loop.schedule(timeoutMillis) {
                process.run {
                    if (!isAnswered) {
                        isAnswered = true
                        reply(StoreFailure.UNKNOWN.left())
                    }
                }
            }
        }

        override fun readRange(prefix: String, after: String?, reply: StoreReply<StorePage>) =
            linked(CALL_TIMEOUT_MILLIS, reply) { store.readRange(prefix, after, it) }

        override fun watch(prefix: String, after: Long, waitMillis: Long, reply: StoreReply<StoreChanges>): () -> Unit {
            var isCancelled = false
            linked(waitMillis + CALL_TIMEOUT_MILLIS, { if (!isCancelled) reply(it) }) {
                store.watch(prefix, after, waitMillis, it)
            }
            return { isCancelled = true }
        }

        override fun write(write: StoreWrite, reply: StoreReply<Long>) =
            linked(CALL_TIMEOUT_MILLIS, reply) { store.write(write, it) }

        override fun grantLease(timeToLiveMillis: Long, reply: StoreReply<StoreLease>) =
            linked(CALL_TIMEOUT_MILLIS, reply) { store.grantLease(timeToLiveMillis, it) }

        override fun renewLease(lease: Long, reply: StoreReply<Long>) =
            linked(RENEWAL_TIMEOUT_MILLIS, reply) { store.renewLease(lease, it) }

        override fun revokeLease(lease: Long, reply: StoreReply<Unit>) =
            linked(CALL_TIMEOUT_MILLIS, reply) { store.revokeLease(lease, it) }
    }

    /** The engines as one process reaches them: a cut holds up what was sent, and answers. */
    private inner class LinkedOrders(private val process: Process) : OrderTransport {
        override var onStatement: ((TargetRecord, TargetStatement, Long) -> Unit)? = null

        override fun requestReport(target: TargetRecord, reply: (TargetReport?) -> Unit) {
            val isReachable = !process.machine.isCutFromEngines
            process.schedule(if (isReachable) LATENCY_MILLIS else ORDER_TIMEOUT_MILLIS) {
                reply(engines.getValue(target.id.value).report().takeIf { isReachable })
            }
        }

        override fun sendOrder(
            target: TargetRecord,
            order: TargetOrder,
            isPermitted: () -> Boolean,
            reply: (OrderOutcome) -> Unit,
        ): () -> Unit {
            var isOver = false
            val end = { outcome: OrderOutcome ->
                if (!isOver) {
                    isOver = true
                    reply(outcome)
                }
            }
            val delivery = Delivery(order, engines.getValue(target.id.value)) { process.run { end(it) } }
            process.deliveries += delivery
            // Most connections are kept; a new one takes up to almost the whole time of the order.
            val connectMillis = if (random.nextInt(4) > 0) 0 else random.nextLong(1, ORDER_TIMEOUT_MILLIS)
            process.schedule(connectMillis) {
                when {
                    isOver -> Unit
                    !isPermitted() -> end(OrderOutcome.NOT_SENT)
                    process.machine.isCutFromEngines -> process.machine.heldUp += delivery
                    else -> arrive(delivery, random.nextLong(1, LATENCY_MILLIS))
                }
            }
            process.schedule(ORDER_TIMEOUT_MILLIS) {
                delivery.isGivenUp = true
                end(OrderOutcome.UNKNOWN)
            }
            return {
                isOver = true
                delivery.isGivenUp = true
            }
        }
    }

    val loop = ManualLoop()
    private val store = FakeStore(loop)
    private val engines = (0 until engineCount).associate {
        "engine-$it" to Engine("engine-$it", ModelId("m${it + 1}"))
    }
    private val machines = List(vmCount) { Machine(it) }
    private val configuration = Samples.configuration(
        Samples.route(RouteKind.STREAMING, Samples.engines, isResumable = true),
    )
    private var requests = 0

    /** Orders that have reached the engines, by engine. */
    val arrivals: Collection<List<Arrival>> get() = engines.values.map { it.arrivals }

    /** Starts the store's contents and all VMs, the first of them cut off from the store for [cutMillis]. */
    fun start(cutMillis: Long) {
        store.nameEra()
        store.put("configuration", ByteArray(1))
        engines.keys.forEach { store.put("targets/$it", it.toByteArray()) }
        if (cutMillis > 0) cutFromStore(0, cutMillis)
        machines.forEach { startProcess(it, isFirstStart = true) }
        loop.schedule(REQUEST_INTERVAL_MILLIS, ::sendRequest)
    }

    /** The VM that the store names as the holder, or null. */
    fun holder(): Int? = store.items["bergamotwind/placement/holder"]?.value?.decodeToString()
        ?.removePrefix("vm-")?.substringBefore('@')?.toInt()

    /** Kills the process of VM [number], which starts again after [downMillis]. */
    fun kill(number: Int, downMillis: Long) {
        val process = machines[number].process ?: return
        process.kill()
        machines[number].process = null
        loop.schedule(downMillis) { startProcess(machines[number], isFirstStart = false) }
    }

    /** Stops VM [number] as planned; it starts again [downMillis] after its end. */
    fun stop(number: Int, downMillis: Long) {
        val process = machines[number].process ?: return
        if (process.isStopping) return
        process.isStopping = true
        process.run {
            process.vm.stop { if (machines[number].process === process) kill(number, downMillis) }
        }
    }

    /** Freezes the process of VM [number]. */
    fun freeze(number: Int, millis: Long) {
        machines[number].process?.freeze(millis)
    }

    /** Cuts VM [number] off from the store. */
    fun cutFromStore(number: Int, millis: Long) {
        machines[number].isCutFromStore = true
        loop.schedule(millis) { machines[number].isCutFromStore = false }
    }

    /** The store is away for [awayMillis] and returns from a copy that is [copyMillis] old by then. */
    fun restoreStore(copyMillis: Long, awayMillis: Long) {
        val copy = store.copy()
        loop.schedule((copyMillis - awayMillis).coerceAtLeast(0)) { store.failure = StoreFailure.UNKNOWN }
        loop.schedule(copyMillis) {
            store.failure = null
            store.restore(copy)
        }
    }

    /** Cuts VM [number] off from the other VMs, which then do not hear its announcements. */
    fun cutFromVms(number: Int, millis: Long) {
        machines[number].isCutFromVms = true
        loop.schedule(millis) { machines[number].isCutFromVms = false }
    }

    /** Cuts VM [number] off from the engines; what the cut holds up arrives up to two seconds after its end. */
    fun cutFromEngines(number: Int, millis: Long) {
        val machine = machines[number]
        machine.isCutFromEngines = true
        loop.schedule(millis) {
            machine.isCutFromEngines = false
            machine.healedMillis = loop.nowMillis()
            machine.heldUp.forEach { arrive(it, random.nextLong(1, RETRANSMISSION_MILLIS)) }
            machine.heldUp.clear()
        }
    }

    /**
     * Returns how the orders to an engine break the hand-over between holders, or null: a lower term after a higher
     * one, one term of two VMs, or orders of two VMs within the lease time. Orders within the thaw time after their
     * sender was thawed or its links healed do not count.
     */
    fun fault(): String? = arrivals.firstNotNullOfOrNull { orders ->
        orders.zipWithNext().firstNotNullOfOrNull { (before, after) ->
            val gap = after.atMillis - before.atMillis
            when {
                after.term < before.term -> "term ${after.term} after ${before.term} at ${after.atMillis} ms"
                after.vm == before.vm -> null
                after.term == before.term -> "term ${after.term} of two VMs at ${after.atMillis} ms"
                gap < LEASE_MILLIS -> "$after, $gap ms after $before"
                else -> null
            }
        }
    }

    private fun arrive(delivery: Delivery, delayMillis: Long) {
        val machine = machines[delivery.order.holder.value.removePrefix("vm-").toInt()]
        loop.schedule(delayMillis) {
            // What has left the VM arrives even if it is given up; what is sent again after a cut does not.
            if (delivery.isGivenUp && delayMillis > LATENCY_MILLIS) return@schedule
            val known = delivery.engine.arrivals.size
            val outcome = delivery.engine.apply(delivery.order)
            if (loop.nowMillis() - machine.healedMillis <= THAW_MILLIS) {
                while (delivery.engine.arrivals.size > known) delivery.engine.arrivals.removeLast()
            }
            val isAnswerLost = random.nextInt(20) == 0 || machine.isCutFromEngines
            if (!isAnswerLost) loop.schedule(LATENCY_MILLIS) { delivery.reply(outcome) }
        }
    }

    private fun startProcess(machine: Machine, isFirstStart: Boolean) {
        val process = Process(machine, isFirstStart)
        machine.process = process
        process.vm.start()
    }

    private fun sendRequest() {
        val engine = requests++ % engineCount
        val adapter = "a${requests / engineCount % ADAPTERS}"
        val process = machines[requests % vmCount].process
        val work = Samples.work("m${engine + 1}", adapter)
        process?.run { process.vm.serve(Samples.call("r$requests", work = work), FakeExchange()) }
        loop.schedule(REQUEST_INTERVAL_MILLIS, ::sendRequest)
    }

    private fun deliver(sender: Machine, address: InetSocketAddress, bytes: ByteArray) {
        val receiver = machines[address.port - FIRST_PEER_PORT]
        if (sender.isCutFromVms || receiver.isCutFromVms || random.nextInt(20) == 0) return
        loop.schedule(random.nextLong(1, 40)) {
            receiver.process?.let { it.run { it.vm.onPeerDatagram(address, bytes) } }
        }
    }

    private inner class Decoder : StoreDecoder {
        override fun configuration(item: StoreItem): Either<String, ServedConfiguration> = configuration.right()

        override fun target(item: StoreItem): Either<String, TargetRecord> {
            val engine = engines.getValue(item.value.decodeToString())
            return Samples.record(engine.id, Samples.engines, mapOf(engine.model.value to emptySet())).right()
        }

        override fun targetId(key: String) = TargetId(key.removePrefix("targets/"))
    }

    companion object {
        /** Milliseconds between the orders of two holders, as the platform requires it. */
        const val LEASE_MILLIS = 3_000L
        private const val THAW_MILLIS = 300L
        private const val LATENCY_MILLIS = 40L
        private const val RETRANSMISSION_MILLIS = 2_000L
        private const val ORDER_TIMEOUT_MILLIS = 500L
        private const val CALL_TIMEOUT_MILLIS = 1_500L
        private const val RENEWAL_TIMEOUT_MILLIS = 800L
        private const val ANSWER_MILLIS = 50L
        private const val REQUEST_INTERVAL_MILLIS = 30L
        private const val ADAPTERS = 22
        private const val FIRST_PEER_PORT = 7_600
    }
}
