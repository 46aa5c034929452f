package dev.bergamotwind.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Header
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.targets.TargetRecord
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.random.Random

/** Guards against targets that get more requests than the limit that they name in their answers. */
class TargetSendLimitSpec {
    /** VMs with one store, targets that the test answers, and heartbeats that arrive after a lag or are lost. */
    private class Fleet(vmCount: Int, records: List<TargetRecord>, kind: RouteKind = RouteKind.NON_IDEMPOTENT) {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val targets = FakeTargets()
        var losesHeartbeats = false
        private val records = HashMap<String, TargetRecord>()
        private val configuration = Samples.configuration(Samples.route(kind))
        private val decoder = object : StoreDecoder {
            override fun configuration(item: StoreItem): Either<String, ServedConfiguration> = configuration.right()

            override fun target(item: StoreItem): Either<String, TargetRecord> =
                this@Fleet.records[item.value.decodeToString()]?.right() ?: "unknown".left()

            override fun targetId(key: String) = TargetId(key.removePrefix("targets/"))
        }
        val vms = List(vmCount) { createVm(it) }

        init {
            store.put("configuration", byteArrayOf(1))
            records.forEach(::register)
            vms.forEach { it.start() }
            loop.advance(1_000)
        }

        fun register(record: TargetRecord) {
            val name = "${record.id}-${records.size}"
            records[name] = record
            store.put("targets/${record.id}", name.toByteArray())
        }

        fun serve(vm: Int = 0, id: String = "r1") = FakeExchange().also { vms[vm].serve(Samples.call(id), it) }

        private fun createVm(number: Int): ServingVm {
            val settings = Samples.settings("vm-$number").copy(peerPort = FIRST_PORT + number)
            return ServingVm(
                settings,
                ServingPorts(
                    loop = loop,
                    store = store,
                    layout = StoreLayout("", "configuration", "targets/"),
                    decoder = decoder,
                    transport = targets,
                    orders = FakeOrders(),
                    peers = { address, bytes -> deliver(number, address, bytes) },
                    refusalHeaders = { _, refusal ->
                        listOf(Header("Retry-After", "${refusal.retryAfterMillis}"))
                    },
                    callers = FakeCallers(),
                    recorder = EventRecorder.None,
                ),
                Random(number),
            )
        }

        private fun deliver(sender: Int, address: InetSocketAddress, bytes: ByteArray) {
            if (losesHeartbeats) return
            loop.schedule(HEARTBEAT_LAG_MILLIS) {
                vms[address.port - FIRST_PORT].onPeerDatagram(
                    InetSocketAddress("127.0.0.1", FIRST_PORT + sender),
                    bytes,
                )
            }
        }
    }

    // Guards against a target that is sent whatever callers ask for although it has named how much it takes.
    @Test
    @Tag("known-red")
    fun `a target gets no more requests than the limit it names allows`() {
        val fleet = Fleet(1, listOf(Samples.record("t1")))
        val sentMillis = mutableListOf<Long>()
        val endMillis = fleet.loop.nowMillis() + 12_000
        var number = 0
        while (fleet.loop.nowMillis() < endMillis) {
            val before = fleet.targets.sent.size
            fleet.serve(id = "r${number++}")
            fleet.targets.sent.drop(before).forEach {
                sentMillis += fleet.loop.nowMillis()
                it.answer(200, limit = 1.0)
            }
            fleet.loop.advance(160)
        }
        val bound = sentMillis.filter { it >= sentMillis.first() + Samples.settings().contactMillis }
        val most = bound.maxOfOrNull { from -> bound.count { it in from until from + 4_000 } } ?: 0
        assertTrue(most <= 11) { "$most requests in 4 s, 11 are permitted" }
    }

    private companion object {
        const val FIRST_PORT = 7_600
        const val HEARTBEAT_LAG_MILLIS = 30L
    }
}
