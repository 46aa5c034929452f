package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.ManualLoop
import dev.bergamotwind.serving.Samples
import dev.bergamotwind.serving.targets.InFlightLoad
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import java.net.InetSocketAddress
import kotlin.random.Random

/** Tests which VMs receive a heartbeat, and that invalid datagrams do no harm. */
class PeersSpec {
    private class Listener : PeerListener {
        val heartbeats = mutableListOf<PeerHeartbeat>()
        var undecodable = 0

        override fun onHeartbeat(heartbeat: PeerHeartbeat) {
            heartbeats += heartbeat
        }

        override fun onUnreachable(vm: VmId) = Unit

        override fun onUndecodable(sender: InetSocketAddress, fault: String) {
            undecodable++
        }
    }

    private val loop = ManualLoop()
    private val listener = Listener()
    private val sent = mutableListOf<Pair<Int, ByteArray>>()
    private val peers =
        Peers(loop, VmId("vm-0"), { address, bytes -> sent += address.port to bytes }, { true }, listener)

    @Test
    fun `a heartbeat to one VM is not sent to the others, and the next broadcast is newer`() {
        (1..80).forEach {
            val member = PeerMember(VmId("vm-$it"), "127.0.0.1", it, Samples.domain, 1)
            peers.onRegistered(member, InetSocketAddress("127.0.0.1", it))
        }
        peers.sendTo(VmId("vm-7"), PeerHeartbeat(VmId("vm-0"), 1, 0))
        assertEquals(listOf(7), sent.map { it.first })
        val first = sent.single().second
        sent.clear()
        peers.broadcast(PeerHeartbeat(VmId("vm-0"), 1, 0), isUrgent = true)
        assertEquals(80, sent.size)
        val receiver = Peers(loop, VmId("vm-7"), { _, _ -> }, { true }, listener)
        receiver.onDatagram(SENDER, first)
        receiver.onDatagram(SENDER, sent[6].second)
        assertEquals(2, listener.heartbeats.size)
    }

    // Guards against VMs that do not agree which of them may send to a limited target, and against none or too many.
    @ParameterizedTest
    @CsvSource("1, 4, 1", "3, 4, 3", "82, 5, 5", "82, 0, 1", "6, 2147483647, 6")
    fun `all VMs agree on the senders to a target`(vmCount: Int, limit: Int, senders: Int) {
        val names = (1..vmCount).map { VmId("vm-$it") }
        for (target in listOf("t1", "t2")) {
            val groups = names.map { own ->
                val view = Peers(loop, own, { _, _ -> }, { true }, listener)
                names.shuffled(Random(own.hashCode())).forEach {
                    view.onRegistered(PeerMember(it, "127.0.0.1", 1, Samples.domain, 1), SENDER)
                }
                view.senders(TargetId(target), limit)
            }
            assertEquals(senders, groups.count { it.includesThisVm })
            assertEquals(setOf(senders), groups.map { it.size }.toSet())
            // Nothing has been heard from any other VM.
            assertEquals(setOf(1), groups.filter { it.includesThisVm }.map { it.reachable }.toSet())
        }
    }

    @ParameterizedTest
    @MethodSource("datagrams")
    fun `a datagram that is not a heartbeat is ignored`(bytes: ByteArray) {
        peers.onDatagram(SENDER, bytes)
        assertTrue(listener.heartbeats.isEmpty())
        assertEquals(1, listener.undecodable)
    }

    // Guards against bytes that nobody has thought of: a valid heartbeat with some bytes replaced, removed or repeated.
    @Test
    fun `a damaged heartbeat is applied or ignored without throwing`() {
        val target = TargetId("t1")
        val model = ModelId("m1")
        val heartbeat = PeerHeartbeat(
            VmId("vm-1"),
            incarnation = 1,
            sequence = 0,
            admittedUnits = mapOf(TeamId("team") to 1.5),
            loads = mapOf(target to InFlightLoad(1, 2, 3, 4, 5)),
            demand = mapOf(model to ModelDemand(1, 2)),
            wantedAdapters = listOf(AdapterUse(target, model, AdapterId("a1"))),
            holdings = listOf(TargetHoldings(target, mapOf(model to setOf(AdapterId("a1"))))),
            expectedModels = listOf(ExpectedModel(model, 100, target)),
            endedTerm = EndedTerm(7, mapOf(target to 10)),
            sendLimits = mapOf(target to SendLimitReport(1.5, 20, 3.0)),
        )
        peers.onRegistered(PeerMember(VmId("vm-1"), "127.0.0.1", 1, Samples.domain, 1), SENDER)
        val random = Random(20_261_205)
        peers.broadcast(heartbeat, isUrgent = true)
        val valid = sent.single().second
        val inserted = listOf(0x9A, 0xBA, 0x5A, 0x7A, 0x9B, 0xBB, 0xDB, 0xFB).map {
            byteArrayOf(it.toByte()) + ByteArray(8) { 0x7F }
        }
        repeat(50_000) {
            val from = random.nextInt(valid.size)
            val rest = valid.drop(from + random.nextInt(0, 12)).toByteArray()
            val added = if (random.nextBoolean()) inserted.random(random) else random.nextBytes(random.nextInt(4))
            peers.onDatagram(SENDER, valid.copyOf(from) + added + rest)
        }
        assertTrue(listener.undecodable > 10_000) { "${listener.undecodable} were not decoded" }
    }

    companion object {
        private val SENDER = InetSocketAddress("127.0.0.1", 9)

        /** Datagrams that declare sizes of 2 GB, and random ones. */
        @JvmStatic
        fun datagrams(): List<ByteArray> {
            val huge = listOf(0x5A, 0x7A, 0x9A, 0xBA).map { kind ->
                byteArrayOf(kind.toByte(), 0x7F, 0xFF.toByte(), 0xFF.toByte(), 0xFF.toByte())
            }
            // A heartbeat whose list of wanted adapters declares 2^31 - 1 entries.
            val hugeList = byteArrayOf(0xBF.toByte(), 0x06) + huge[2]
            val random = Random(20_261_204)
            return listOf(ByteArray(0), hugeList) + huge + List(200) { random.nextBytes(random.nextInt(1, 200)) }
        }
    }
}
