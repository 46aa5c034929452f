package dev.bergamotwind.membership

import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.VmId
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

val SECRET = "0123456789abcdef0123456789abcdef".toByteArray()

/** A node behind a [Gate], with short intervals. */
class TestNode(
    number: Int,
    domain: String = "west",
    secret: ByteArray = SECRET,
    versions: ProtocolVersions = ProtocolVersions(),
    topology: Topology = FullMesh,
    configuration: ConfigurationExchange = ConfigurationExchange.None,
    bytesPerSecond: Int = 100_000,
    interval: Duration = 50.milliseconds,
    handshakeTimeout: Duration = 500.milliseconds,
) : AutoCloseable {
    val gate = Gate()
    val identity = NodeIdentity(VmId("vm-$number"), FailureDomainId(domain), gate.address)
    val events = CopyOnWriteArrayList<String>()
    private val recorder = object : EventRecorder {
        override fun record(kind: EventKind, request: RequestId?, fields: List<EventField>) {
            events += "$kind ${fields.joinToString(" ") { "${it.key}=${it.value}" }}"
        }
    }
    private val settings = MembershipSettings(
        "127.0.0.1:0",
        secret,
        topology = topology,
        versions = versions,
        digestInterval = interval,
        bytesPerSecond = bytesPerSecond,
        silenceLimit = 600.milliseconds,
        handshakeTimeout = handshakeTimeout,
        longestBackoff = 300.milliseconds,
        frameLimitBytes = 10_000,
    )
    private var port = 0
    val membership = Membership(settings, identity, configuration, recorder = recorder)

    fun start(): TestNode = apply {
        membership.start()
        port = membership.boundPort
        gate.target = port
    }

    val directAddress: String get() = "127.0.0.1:$port"

    fun sees(other: TestNode): PeerStatus? = membership.view().peer(other.identity.id)?.takeIf { it.connected }

    override fun close() {
        membership.close()
        gate.close()
    }
}

fun connect(nodes: List<TestNode>) {
    nodes.forEach { it.start() }
    val peers = nodes.map { it.identity.peerAddress }
    nodes.forEach { it.membership.peers(peers) }
}

fun eventually(what: String, limit: Duration = 10.seconds, condition: () -> Boolean) {
    val end = System.nanoTime() + limit.inWholeNanoseconds
    while (!condition()) {
        check(System.nanoTime() < end) { "not within $limit: $what" }
        Thread.sleep(10)
    }
}
