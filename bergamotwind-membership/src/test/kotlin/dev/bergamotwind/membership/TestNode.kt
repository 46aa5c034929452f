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

val TEST_SECRET = "0123456789abcdef0123456789abcdef".toByteArray()

/** A node behind a [FaultInjectingProxy], with short intervals and timeouts. */
class TestNode(
    number: Int,
    domain: String = "west",
    secret: ByteArray = TEST_SECRET,
    versions: ProtocolVersions = ProtocolVersions(),
    topology: Topology = FullMesh,
    configuration: ConfigurationExchange = ConfigurationExchange.None,
    bytesPerSecond: Int = 100_000,
    digestInterval: Duration = 50.milliseconds,
    handshakeTimeout: Duration = 500.milliseconds,
) : AutoCloseable {
    val proxy = FaultInjectingProxy()
    val identity = NodeIdentity(VmId("vm-$number"), FailureDomainId(domain), proxy.address)
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
        digestInterval = digestInterval,
        bytesPerSecond = bytesPerSecond,
        peerTimeout = 600.milliseconds,
        handshakeTimeout = handshakeTimeout,
        maxBackoff = 300.milliseconds,
        maxFrameBytes = 10_000,
    )
    private var port = 0
    val membership = Membership(settings, identity, configuration, recorder = recorder)

    fun start(): TestNode = apply {
        membership.start()
        port = membership.boundPort
        proxy.upstreamPort = port
    }

    val directAddress: String get() = "127.0.0.1:$port"

    fun connectedStatus(other: TestNode): PeerStatus? =
        membership.view().findPeer(other.identity.id)?.takeIf { it.connected }

    override fun close() {
        membership.close()
        proxy.close()
    }
}

fun startAndConnect(nodes: List<TestNode>) {
    nodes.forEach { it.start() }
    val peers = nodes.map { it.identity.peerAddress }
    nodes.forEach { it.membership.updatePeers(peers) }
}

fun eventually(expectation: String, timeout: Duration = 10.seconds, condition: () -> Boolean) {
    val deadlineNanos = System.nanoTime() + timeout.inWholeNanoseconds
    while (!condition()) {
        check(System.nanoTime() < deadlineNanos) { "not within $timeout: $expectation" }
        Thread.sleep(10)
    }
}
