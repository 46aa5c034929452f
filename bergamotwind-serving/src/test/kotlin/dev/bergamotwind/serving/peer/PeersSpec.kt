package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.ManualLoop
import dev.bergamotwind.serving.Samples
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.InetSocketAddress
import kotlin.random.Random

/** Tests which VMs receive a heartbeat, and that invalid datagrams do no harm. */
class PeersSpec {
    private class Listener : PeerListener {
        val heartbeats = mutableListOf<PeerHeartbeat>()

        override fun onHeartbeat(heartbeat: PeerHeartbeat) {
            heartbeats += heartbeat
        }

        override fun onUnreachable(vm: VmId) = Unit

        override fun onUndecodable(sender: InetSocketAddress, failure: Exception) = Unit
    }

    private val loop = ManualLoop()
    private val listener = Listener()
    private val sent = mutableListOf<Pair<Int, ByteArray>>()
    private val peers =
        Peers(loop, VmId("vm-0"), { address, bytes -> sent += address.port to bytes }, { true }, listener)

    @Test
    fun `a heartbeat to one VM is not sent to the others, and the next broadcast is newer`() {
        (1..80).forEach { peers.onRegistered(PeerMember(VmId("vm-$it"), "127.0.0.1", it, Samples.domain, 1)) }
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

    @ParameterizedTest
    @MethodSource("datagrams")
    fun `a datagram that is not a heartbeat is ignored`(bytes: ByteArray) {
        peers.onDatagram(SENDER, bytes)
        assertTrue(listener.heartbeats.isEmpty())
    }

    companion object {
        private val SENDER = InetSocketAddress("127.0.0.1", 9)

        /** Datagrams that declare sizes of 2 GB, and random ones. */
        @JvmStatic
        fun datagrams(): List<ByteArray> {
            val huge = listOf(0x5A, 0x7A, 0x9A, 0xBA).map { kind ->
                byteArrayOf(kind.toByte(), 0x7F, 0xFF.toByte(), 0xFF.toByte(), 0xFF.toByte())
            }
            val random = Random(20_261_204)
            return listOf(ByteArray(0)) + huge + List(200) { random.nextBytes(random.nextInt(1, 200)) }
        }
    }
}
