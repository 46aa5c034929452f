package dev.bergamotwind.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.Header
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.call.ModelRequest
import dev.bergamotwind.serving.catalogue.RouteKind
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.targets.TargetRecord
import java.net.InetSocketAddress
import kotlin.random.Random

/** VMs with one store, targets that the test answers, and heartbeats that arrive after a lag or are lost. */
class RequestFleet(
    vmCount: Int,
    records: List<TargetRecord>,
    kind: RouteKind = RouteKind.NON_IDEMPOTENT,
    service: ServiceId = Samples.plain,
) {
    val loop = ManualLoop()
    val store = FakeStore(loop)
    val targets = FakeTargets()
    val orders = FakeOrders()
    var losesHeartbeats = false
    private val records = HashMap<String, TargetRecord>()
    private val configuration = Samples.configuration(
        Samples.route(
            kind,
            service,
            isResumable =
            kind == RouteKind.STREAMING,
        ),
    )
    private val decoder = object : StoreDecoder {
        override fun configuration(item: StoreItem): Either<String, ServedConfiguration> = configuration.right()

        override fun target(item: StoreItem): Either<String, TargetRecord> =
            this@RequestFleet.records[item.value.decodeToString()]?.right() ?: "unknown".left()

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

    fun serve(vm: Int = 0, id: String = "r1", work: ModelRequest? = null) =
        FakeExchange().also { vms[vm].serve(Samples.call(id, work = work), it) }

    private fun createVm(number: Int): ServingVm {
        val settings = Samples.settings("vm-$number").copy(peerPort = FIRST_PORT + number)
        return ServingVm(
            settings,
            ServingPorts(
                loop = loop,
                store = EraReportingStore(store),
                layout = StoreLayout("", "configuration", "targets/"),
                decoder = decoder,
                transport = targets,
                orders = orders,
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

    private companion object {
        const val FIRST_PORT = 7_600
        const val HEARTBEAT_LAG_MILLIS = 30L
    }
}
