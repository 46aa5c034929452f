@file:OptIn(ExperimentalSerializationApi::class)

package dev.bergamotwind.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.nio.ByteBuffer
import kotlin.time.Duration.Companion.seconds

/** Guards against links that accept unauthenticated peers or replayed frames, or that fail on malformed input. */
class LinkSecuritySpec {
    private class Case(val name: String, val reason: String, val attack: (RawPeer) -> Unit)

    private val cases = listOf(
        Case("a peer without the secret", "authentication") { runCatching { it.authenticate(ByteArray(32)) } },
        Case("a peer that skips the proof", "malformed") { it.writeFrame(byteArrayOf(1, 2, 3)) },
        Case("a peer that sends an incomplete frame", "TimeoutCancellationException") {
            it.writeBytes(byteArrayOf(0, 0))
        },
        Case("an oversized frame before authentication", "frame_size") { it.writeBytes(lengthPrefix(10_001)) },
        Case("a frame with a negative length", "frame_size") { it.writeBytes(lengthPrefix(-1)) },
        Case("an unknown protocol version", "version") {
            runCatching { it.authenticate(versions = ProtocolVersions(2, 3)) }
        },
        Case("a replayed frame", "sequence") {
            val frame = it.authenticate().buildFrame(1)
            repeat(2) { _ -> it.writeFrame(frame) }
        },
        Case("a lost frame", "sequence") { it.authenticate().writeFrame(it.buildFrame(2)) },
        Case("a modified frame", "authentication") {
            it.authenticate().writeFrame(it.buildFrame(1).also { frame -> frame[12]++ })
        },
        Case("a frame with another frame's sequence number", "authentication") {
            it.authenticate().writeFrame(it.buildFrame(1).also { frame -> frame[7]++ })
        },
        Case("an oversized frame", "frame_size") { it.authenticate().writeBytes(lengthPrefix(10_001)) },
        Case("a truncated frame", "EOFException") {
            it.authenticate().writeBytes(lengthPrefix(100) + ByteArray(50))
            it.close()
        },
        Case("a frame too short for its MAC", "malformed") { it.authenticate().writeFrame(ByteArray(5)) },
        Case("a message that is not CBOR", "malformed") {
            it.authenticate().writeFrame(it.buildFrame(1, ByteArray(3) { -1 }))
        },
        Case("an item with an unknown name", "malformed") {
            val digest = DigestMessage(1, encodedItems = listOf(1L * 64 + 8 + 4, 5, 1, 1, 1, 0))
            it.authenticate().writeFrame(
                it.buildFrame(1, messageCbor.encodeToByteArray(LinkMessage(digestRequest = digest))),
            )
        },
    )

    @TestFactory
    fun `a misbehaving peer is rejected or disconnected`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            // Longer than a first handshake takes on a busy machine, which would otherwise be rejected by the timeout.
            TestNode(1, handshakeTimeout = 5.seconds).start().use { node ->
                RawPeer(node.directAddress).use { peer ->
                    case.attack(peer)
                    eventually("${case.reason} in ${node.events}") {
                        node.events.any { "reason=${case.reason}" in it }
                    }
                    assertTrue(peer.isClosedByNode())
                }
                RawPeer(node.directAddress).use { it.authenticate() }
            }
        }
    }

    @Test
    fun `nodes with different secrets never connect`() = withNodes(
        TestNode(1),
        TestNode(2, secret = ByteArray(32)),
    ) { (first, second) ->
        eventually("refusal") { (first.events + second.events).any { "reason=authentication" in it } }
        assertNull(first.connectedStatus(second) ?: second.connectedStatus(first))
    }

    @Test
    fun `nodes with overlapping protocol versions connect`() = withNodes(
        TestNode(1, versions = ProtocolVersions(1, 2)),
        TestNode(2, versions = ProtocolVersions(2, 3)),
    ) { (first, second) ->
        eventually("contact") {
            first.connectedStatus(second) != null &&
                second.connectedStatus(first) != null
        }
    }

    @Test
    fun `an unknown field of a newer version is ignored`() = TestNode(1).start().use { node ->
        RawPeer(node.directAddress).use { peer ->
            peer.authenticate()
            val newer = NewerLinkMessage(NewerDigest(5, 9, listOf("new")), "unknown")
            peer.writeFrame(peer.buildFrame(1, messageCbor.encodeToByteArray(newer)))
            val response = peer.readFrame().let { it.copyOfRange(8, it.size - FrameMac.SIZE_BYTES) }
            assertEquals(1, messageCbor.decodeFromByteArray<LinkMessage>(response).digestResponse?.acknowledgedDigest)
            eventually("the revision of the peer") {
                node.membership.view().peers.singleOrNull()?.revision?.value == 9L
            }
        }
    }

    @Serializable
    private class NewerDigest(
        @CborLabel(1) val clockMillis: Long,
        @CborLabel(3) val revision: Long,
        @CborLabel(20) val added: List<String>,
    )

    @Serializable
    private class NewerLinkMessage(@CborLabel(1) val digestRequest: NewerDigest, @CborLabel(30) val added: String)

    private fun lengthPrefix(size: Int): ByteArray = ByteBuffer.allocate(4).putInt(size).array()

    private fun withNodes(vararg nodes: TestNode, check: (List<TestNode>) -> Unit) {
        startAndConnect(nodes.toList())
        check(nodes.toList())
        nodes.forEach { it.close() }
    }
}
