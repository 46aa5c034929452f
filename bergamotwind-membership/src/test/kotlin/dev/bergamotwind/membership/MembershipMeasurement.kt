package dev.bergamotwind.membership

import com.sun.management.OperatingSystemMXBean
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import java.lang.management.ManagementFactory
import java.net.InetAddress
import java.net.ServerSocket
import java.time.Duration
import kotlin.concurrent.thread
import kotlin.random.Random

private const val PUBLISH_INTERVAL_MILLIS = 500L

/** Nodes in one process, linked over loopback sockets, whose targets constantly change their load. */
private class LoopbackFleet(
    private val count: Int,
    topology: Topology,
    bytesPerSecond: Int,
    private val targetsPerNode: Int,
) {
    private val random = Random(System.getProperty("seed", "1").toLong())

    // Ports are chosen before the start, because they are part of the identities.
    private val ports = List(count) { ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")) }
        .map { socket -> socket.localPort.also { socket.close() } }
    private val domains = maxOf(1, count / 20).let { if (topology is FullMesh) 1 else maxOf(3, it) }
    private val identities = ports.mapIndexed { index, port ->
        NodeIdentity(VmId("vm-$index"), FailureDomainId("domain-${index % domains}"), "127.0.0.1:$port")
    }
    val nodes = identities.map {
        Membership(
            MembershipSettings(
                it.address,
                TEST_SECRET,
                identities.map {
                    it.peerAddress
                },
                topology,
                bytesPerSecond = bytesPerSecond,
            ),
            it,
        )
    }

    fun publish(round: Int) = nodes.forEachIndexed { index, node ->
        val demand = List(5) { TokenDemand(ModelId("model-${(index + it) % 34}"), null, random.nextLong(3) * 100) }
        node.publish(
            LocalDigest(
                Revision(round.toLong()),
                System.nanoTime(),
                false,
                demand,
                List(targetsPerNode) {
                    report(index, it)
                },
            ),
        )
    }

    private fun report(node: Int, number: Int): TargetDigest {
        val artifact = Artifact(ModelId("model-${(node * targetsPerNode + number) % 34}"), "1")
        val target = TargetId("engine-$node-$number")
        return TargetDigest(target, System.nanoTime(), random.nextInt(64), random.nextInt(8), loaded = listOf(artifact))
    }

    fun close() = nodes.forEach { it.close() }
}

private class ResourceUsage(nodes: List<Membership>) {
    val traffic = nodes.map { it.traffic() }
    val processCpuNanos = (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime

    // Excludes the JIT compiler and garbage collector threads, which are still busy this early in the process.
    val threadCpuNanos = ManagementFactory.getThreadMXBean().run { allThreadIds.sumOf { getThreadCpuTime(it) } }
    val nanos = System.nanoTime()
}

/** Arguments: nodes, `mesh` or `relays`, bytes a second or 0 for no limit, targets per node, seconds. */
fun main(arguments: Array<String>) {
    val topology = if (arguments[1] == "mesh") FullMesh else DomainRelays()
    val limit = arguments[2].toInt().let { if (it == 0) Int.MAX_VALUE / 2 else it }
    val fleet = LoopbackFleet(arguments[0].toInt(), topology, limit, arguments[3].toInt())
    fleet.nodes.forEach { it.start() }
    thread(isDaemon = true) {
        generateSequence(1) { it + 1 }.forEach {
            fleet.publish(it)
            Thread.sleep(PUBLISH_INTERVAL_MILLIS)
        }
    }
    Thread.sleep(Duration.ofSeconds(15).toMillis())
    val before = ResourceUsage(fleet.nodes)
    val contactAges = mutableListOf<Long>()
    val loadAges = mutableListOf<Long>()
    repeat(arguments[4].toInt()) {
        Thread.sleep(1_000)
        val now = System.nanoTime()
        val peers = fleet.nodes.flatMap { it.view().peers }
        contactAges += peers.map { now - it.lastContactNanos }
        loadAges += peers.flatMap { it.reports }.map { now - it.observedNanos }
    }
    printRates(arguments.joinToString(" "), before, ResourceUsage(fleet.nodes))
    val views = fleet.nodes.map { it.view() }
    println(
        "connected_min=${views.minOf { view -> view.peers.count { it.connected } }} " +
            "connected_max=${views.maxOf { view -> view.peers.count { it.connected } }} " +
            "domains_seen_min=${views.minOf { it.domains.size }} " +
            "contact_age_ms ${percentiles(contactAges)} load_age_ms ${percentiles(loadAges)}",
    )
    fleet.close()
}

private fun printRates(name: String, before: ResourceUsage, after: ResourceUsage) {
    val seconds = (after.nanos - before.nanos) / 1e9
    val sentBytes = after.traffic.zip(before.traffic) { end, start -> (end.sentBytes - start.sentBytes) / seconds }
    val frames = after.traffic.zip(before.traffic) { end, start -> (end.sentFrames - start.sentFrames) / seconds }
    val onWire = sentBytes.zip(frames) { bytes, count -> bytes + count * TCP_IP_HEADER_BYTES }
    val cpuMicros = (after.threadCpuNanos - before.threadCpuNanos) / 1e3
    val digests = frames.sum()
    println(
        "$name: frame_bytes/s mean=%.0f max=%.0f; with headers mean=%.0f max=%.0f; "
            .format(sentBytes.average(), sentBytes.max(), onWire.average(), onWire.max()) +
            "frames/s mean=%.1f; bytes/frame=%.0f; cpu_us/digest=%.0f core/node=%.4f process_core/node=%.4f".format(
                frames.average(),
                sentBytes.sum() / digests,
                cpuMicros / (digests * seconds),
                cpuMicros / 1e6 / seconds / sentBytes.size,
                (after.processCpuNanos - before.processCpuNanos) / 1e9 / seconds / sentBytes.size,
            ),
    )
}

private fun percentiles(nanos: List<Long>): String {
    val sorted = nanos.sorted()
    if (sorted.isEmpty()) return "none"
    return "p50=${sorted[sorted.size / 2] / 1_000_000} p99=${sorted[sorted.size * 99 / 100] / 1_000_000}"
}
