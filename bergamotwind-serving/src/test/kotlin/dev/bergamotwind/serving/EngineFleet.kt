package dev.bergamotwind.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.call.Attempt
import dev.bergamotwind.serving.call.AttemptListener
import dev.bergamotwind.serving.call.Call
import dev.bergamotwind.serving.call.ResponseHead
import dev.bergamotwind.serving.call.TargetRequest
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.placement.TargetReport
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.targets.TargetRecord
import java.net.InetSocketAddress
import kotlin.random.Random

/**
 * Entry VMs with one store, the datagrams between them, and engines on virtual time. An engine answers each request
 * after [answerMillis] with one event a tenth of a second. A request with a part in [deadlyParts] crashes its engine
 * as the answer begins: all attempts there are broken off, connections are refused, and the engine is back under
 * another id after [downMillis].
 */
class EngineFleet(val vmCount: Int, engineCount: Int, private val answerMillis: Long = 300) {
    private class Run(val engine: String, val listener: AttemptListener) {
        var isOver = false
    }

    /** A request that reached an engine. */
    class Arrival(val atMillis: Long, val vm: String, parts: List<Long>) : List<Long> by parts

    /** The end of an engine, with the part that caused it, or null. */
    data class Crash(val atMillis: Long, val part: Long?)

    /** One process of a VM; its timers stop when it is killed. */
    private inner class Process(val name: String, number: Int) : ServingLoop {
        var isAlive = true
        val vm = ServingVm(
            Samples.settings(name).copy(peerPort = FIRST_PEER_PORT + number),
            ServingPorts(
                loop = this,
                store = EraReportingStore(store),
                layout = StoreLayout("", "configuration", "targets/"),
                decoder = Decoder(),
                transport = { target, request, listener -> send(name, target, request, listener) },
                orders = FakeOrders().apply {
                    onReport = { TargetReport(it.models, false, 0).takeIf { _ -> it.id.value in engines.values } }
                },
                peers = { address, bytes -> if (isAlive) deliver(name, address, bytes) },
                refusalHeaders = { _, _ -> emptyList() },
                callers = FakeCallers(),
                recorder = Recorder(),
            ),
            Random(number),
        )

        override fun nowMillis() = loop.nowMillis()

        override fun wallMillis() = loop.wallMillis()

        override fun schedule(delayMillis: Long, action: () -> Unit) =
            loop.schedule(delayMillis) { if (isAlive) action() }
    }

    val loop = ManualLoop()
    val store = FakeStore(loop)
    val deadlyParts = mutableSetOf<Long>()
    val arrivals = mutableListOf<Arrival>()
    val crashes = mutableListOf<Crash>()
    val unreachableVms = mutableSetOf<String>()

    /** Events that the VMs recorded, by kind. */
    val events = mutableMapOf<String, MutableList<Map<String, String>>>()

    /** Bytes of the datagrams sent so far. */
    var datagramBytes = 0L
        private set
    private val processes = LinkedHashMap<String, Process>()
    private val runs = mutableListOf<Run>()
    private val records = HashMap<String, TargetRecord>()
    private val engines = HashMap<Int, String>()
    private var starts = 0
    private val configuration = Samples.configuration(
        Samples.route(RouteKind.STREAMING, Samples.engines, isResumable = true),
    )

    init {
        store.put("configuration", ByteArray(1))
        repeat(engineCount, ::startEngine)
        repeat(vmCount) { startVm("vm-$it") }
        loop.advance(START_MILLIS)
    }

    /** Serves a request with [parts], the last of which is its own, at [vm]. */
    fun serve(vm: Int, id: String, vararg parts: Long): FakeExchange = FakeExchange().also {
        processes.getValue("vm-$vm").vm.serve(Samples.call(id, work = Samples.work(parts = parts.toList())), it)
    }

    /** Replaces all VMs by new processes, which know only what the store holds. */
    fun restartAllVms() {
        processes.values.forEach { it.isAlive = false }
        runs.forEach { it.isOver = true }
        processes.keys.toList().forEach(::startVm)
        loop.advance(START_MILLIS)
    }

    /** Crashes the engine in [slot], for a cause of its own. */
    fun crash(slot: Int) {
        engines[slot]?.let { crash(it, null) }
    }

    private fun send(vm: String, target: TargetRecord, request: TargetRequest, listener: AttemptListener): Attempt {
        val run = Run(target.id.value, listener)
        if (target.id.value !in engines.values) {
            loop.schedule(CONNECT_MILLIS) { if (!run.isOver) listener.onNotSent("refused").also { run.isOver = true } }
        } else {
            arrivals += Arrival(loop.nowMillis(), vm, request.call.modelRequest?.parts.orEmpty().map { it.id.value })
            runs += run
            loop.schedule(answerMillis) { begin(run, request.call) }
        }
        return object : Attempt {
            override fun cancel() {
                run.isOver = true
            }

            override fun pauseReading(paused: Boolean) = Unit
        }
    }

    private fun begin(run: Run, call: Call) {
        if (run.isOver) return
        val parts = call.modelRequest?.parts.orEmpty().map { it.id.value }
        parts.firstOrNull { it in deadlyParts }?.let { return crash(run.engine, it) }
        run.listener.onHead(ResponseHead(200, emptyList(), false, false, false, true, true, null))
        continueRun(run, 1)
    }

    private fun continueRun(run: Run, event: Long) {
        if (run.isOver) return
        run.listener.onBody("id: $event\ndata: token\n\n".toByteArray())
        loop.schedule(EVENT_MILLIS) {
            when {
                run.isOver -> Unit

                event < EVENTS -> continueRun(run, event + 1)

                else -> {
                    run.isOver = true
                    run.listener.onComplete()
                }
            }
        }
    }

    private fun crash(id: String, part: Long?) {
        val slot = engines.entries.first { it.value == id }.key
        engines -= slot
        crashes += Crash(loop.nowMillis(), part)
        runs.filter { it.engine == id && !it.isOver }.forEach {
            it.isOver = true
            it.listener.onInterrupted("the connection ended")
        }
        loop.schedule(DOWN_MILLIS) {
            store.remove("targets/$id")
            startEngine(slot)
        }
    }

    private fun startEngine(slot: Int) {
        val id = "engine-$slot-${starts++}"
        engines[slot] = id
        records[id] = Samples.record(id, Samples.engines, mapOf("m1" to emptySet()), started = starts.toLong())
            .copy(address = InetSocketAddress("127.0.0.1", FIRST_PORT + slot))
        store.put("targets/$id", id.toByteArray())
    }

    private fun startVm(name: String) {
        val process = Process(name, name.removePrefix("vm-").toInt())
        processes[name] = process
        process.vm.start()
    }

    private fun deliver(sender: String, address: InetSocketAddress, bytes: ByteArray) {
        val receiver = "vm-${address.port - FIRST_PEER_PORT}"
        datagramBytes += bytes.size
        if (sender in unreachableVms || receiver in unreachableVms) return
        loop.schedule(DATAGRAM_MILLIS) { processes[receiver]?.vm?.onPeerDatagram(address, bytes) }
    }

    private inner class Recorder : EventRecorder {
        override fun record(kind: EventKind, request: RequestId?, fields: List<EventField>) {
            events.getOrPut(kind.value) { mutableListOf() } += fields.associate { it.key to it.value }
        }
    }

    private inner class Decoder : StoreDecoder {
        override fun configuration(item: StoreItem): Either<String, ServedConfiguration> = configuration.right()

        override fun target(item: StoreItem): Either<String, TargetRecord> =
            records[item.value.decodeToString()]?.right() ?: "unknown".left()

        override fun targetId(key: String) = TargetId(key.removePrefix("targets/"))
    }

    companion object {
        /** Milliseconds that a crashed engine is away. */
        const val DOWN_MILLIS = 3_400L

        /** Events of each response. */
        const val EVENTS = 8L
        private const val EVENT_MILLIS = 100L
        private const val START_MILLIS = 400L
        private const val CONNECT_MILLIS = 2L
        private const val DATAGRAM_MILLIS = 20L
        private const val FIRST_PORT = 9_000
        private const val FIRST_PEER_PORT = 7_600
    }
}
