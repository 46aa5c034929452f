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

/** Nodes of one process over loopback sockets, whose targets change their load all the time. */
private class Fleet(private val count: Int, topology: Topology, bytesPerSecond: Int, private val targets: Int) {
    private val random = Random(System.getProperty("seed", "1").toLong())

    // Ports must be known before the start, because they are part of the identities.
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
                SECRET,
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
        val demand = List(5) { Demand(ModelId("model-${(index + it) % 34}"), null, random.nextLong(3) * 100) }
        node.publish(
            LocalDigest(
                Revision(round.toLong()),
                System.nanoTime(),
                false,
                demand,
                List(targets) {
                    report(index, it)
                },
            ),
        )
    }

    private fun report(node: Int, number: Int): TargetDigest {
        val artifact = Artifact(ModelId("model-${(node * targets + number) % 34}"), "1")
        val target = TargetId("engine-$node-$number")
        return TargetDigest(target, System.nanoTime(), random.nextInt(64), random.nextInt(8), loaded = listOf(artifact))
    }

    fun close() = nodes.forEach { it.close() }
}

private class Totals(nodes: List<Membership>) {
    val traffic = nodes.map { it.traffic() }
    val processNanos = (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime

    // Without the threads of the compiler and the collector, which a process of this age still keeps busy.
    val processorNanos = ManagementFactory.getThreadMXBean().run { allThreadIds.sumOf { getThreadCpuTime(it) } }
    val nanos = System.nanoTime()
}

/** Arguments: nodes, `mesh` or `relays`, bytes a second or 0 for no limit, targets per node, seconds. */
fun main(arguments: Array<String>) {
    val topology = if (arguments[1] == "mesh") FullMesh else DomainRelays()
    val limit = arguments[2].toInt().let { if (it == 0) Int.MAX_VALUE / 2 else it }
    val fleet = Fleet(arguments[0].toInt(), topology, limit, arguments[3].toInt())
    fleet.nodes.forEach { it.start() }
    thread(isDaemon = true) {
        generateSequence(1) { it + 1 }.forEach {
            fleet.publish(it)
            Thread.sleep(PUBLISH_INTERVAL_MILLIS)
        }
    }
    Thread.sleep(Duration.ofSeconds(15).toMillis())
    val before = Totals(fleet.nodes)
    val ages = mutableListOf<Long>()
    val loads = mutableListOf<Long>()
    repeat(arguments[4].toInt()) {
        Thread.sleep(1_000)
        val now = System.nanoTime()
        val peers = fleet.nodes.flatMap { it.view().peers }
        ages += peers.map { now - it.lastContactNanos }
        loads += peers.flatMap { it.reports }.map { now - it.observedNanos }
    }
    print(arguments.joinToString(" "), before, Totals(fleet.nodes))
    val views = fleet.nodes.map { it.view() }
    println(
        "connected_min=${views.minOf { view -> view.peers.count { it.connected } }} " +
            "connected_max=${views.maxOf { view -> view.peers.count { it.connected } }} " +
            "domains_seen_min=${views.minOf { it.domains.size }} " +
            "contact_age_ms ${percentiles(ages)} load_age_ms ${percentiles(loads)}",
    )
    fleet.close()
}

private fun print(name: String, before: Totals, after: Totals) {
    val seconds = (after.nanos - before.nanos) / 1e9
    val sent = after.traffic.zip(before.traffic) { end, start -> (end.sentBytes - start.sentBytes) / seconds }
    val frames = after.traffic.zip(before.traffic) { end, start -> (end.sentFrames - start.sentFrames) / seconds }
    val onWire = sent.zip(frames) { bytes, count -> bytes + count * HEADER_BYTES }
    val microseconds = (after.processorNanos - before.processorNanos) / 1e3
    val digests = frames.sum()
    println(
        "$name: frame_bytes/s mean=%.0f max=%.0f; with headers mean=%.0f max=%.0f; "
            .format(sent.average(), sent.max(), onWire.average(), onWire.max()) +
            "frames/s mean=%.1f; bytes/frame=%.0f; cpu_us/digest=%.0f core/node=%.4f process_core/node=%.4f".format(
                frames.average(),
                sent.sum() / digests,
                microseconds / (digests * seconds),
                microseconds / 1e6 / seconds / sent.size,
                (after.processNanos - before.processNanos) / 1e9 / seconds / sent.size,
            ),
    )
}

private fun percentiles(nanos: List<Long>): String {
    val sorted = nanos.sorted()
    if (sorted.isEmpty()) return "none"
    return "p50=${sorted[sorted.size / 2] / 1_000_000} p99=${sorted[sorted.size * 99 / 100] / 1_000_000}"
}
