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

/** Guards against a link that lets in strangers, takes a frame twice, or is brought down by malformed input. */
class LinkSecuritySpec {
    private class Case(val name: String, val reason: String, val attack: (RawPeer) -> Unit)

    private val cases = listOf(
        Case("a stranger without the secret", "authentication") { runCatching { it.authenticate(ByteArray(32)) } },
        Case("a stranger who skips the proof", "malformed") { it.write(byteArrayOf(1, 2, 3)) },
        Case("a stranger who sends nothing whole", "TimeoutCancellationException") { it.raw(byteArrayOf(0, 0)) },
        Case("an oversized frame before authentication", "frame_size") { it.raw(length(10_001)) },
        Case("a frame of negative length", "frame_size") { it.raw(length(-1)) },
        Case("an unknown protocol version", "version") {
            runCatching { it.authenticate(versions = ProtocolVersions(2, 3)) }
        },
        Case("a replayed frame", "sequence") {
            val frame = it.authenticate().frame(1)
            repeat(2) { _ -> it.write(frame) }
        },
        Case("a lost frame", "sequence") { it.authenticate().write(it.frame(2)) },
        Case("a changed frame", "authentication") {
            it.authenticate().write(it.frame(1).also { frame -> frame[12]++ })
        },
        Case("a frame with another frame's sequence number", "authentication") {
            it.authenticate().write(it.frame(1).also { frame -> frame[7]++ })
        },
        Case("an oversized frame", "frame_size") { it.authenticate().raw(length(10_001)) },
        Case("a truncated frame", "EOFException") {
            it.authenticate().raw(length(100) + ByteArray(50))
            it.close()
        },
        Case("a frame too short for its MAC", "malformed") { it.authenticate().write(ByteArray(5)) },
        Case("a message that is not CBOR", "malformed") { it.authenticate().write(it.frame(1, ByteArray(3) { -1 })) },
        Case("an item with an unknown name", "malformed") {
            val digest = DigestMessage(1, items = listOf(1L * 64 + 8 + 4, 5, 1, 1, 1, 0))
            it.authenticate().write(it.frame(1, wire.encodeToByteArray(LinkMessage(digestRequest = digest))))
        },
    )

    @TestFactory
    fun `is refused or cut off`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            // Longer than a first handshake takes on a busy machine, which would be refused for its time instead.
            TestNode(1, handshakeTimeout = 5.seconds).start().use { node ->
                RawPeer(node.directAddress).use { raw ->
                    case.attack(raw)
                    eventually("${case.reason} in ${node.events}") {
                        node.events.any { "reason=${case.reason}" in it }
                    }
                    assertTrue(raw.isClosed())
                }
                RawPeer(node.directAddress).use { it.authenticate() }
            }
        }
    }

    @Test
    fun `nodes with different secrets never see each other`() = withNodes(
        TestNode(1),
        TestNode(2, secret = ByteArray(32)),
    ) { (first, second) ->
        eventually("refusal") { (first.events + second.events).any { "reason=authentication" in it } }
        assertNull(first.sees(second) ?: second.sees(first))
    }

    @Test
    fun `adjacent versions work together`() = withNodes(
        TestNode(1, versions = ProtocolVersions(1, 2)),
        TestNode(2, versions = ProtocolVersions(2, 3)),
    ) { (first, second) -> eventually("contact") { first.sees(second) != null && second.sees(first) != null } }

    @Test
    fun `a field of a newer version is ignored`() = TestNode(1).start().use { node ->
        RawPeer(node.directAddress).use { raw ->
            raw.authenticate()
            val newer = NewerLinkMessage(NewerDigest(5, 9, listOf("new")), "unknown")
            raw.write(raw.frame(1, wire.encodeToByteArray(newer)))
            val answer = raw.read().let { it.copyOfRange(8, it.size - FrameMac.SIZE_BYTES) }
            assertEquals(1, wire.decodeFromByteArray<LinkMessage>(answer).digestResponse?.echo)
            eventually("the revision of the peer") {
                node.membership.view().peers.singleOrNull()?.revision?.value == 9L
            }
        }
    }

    @Serializable
    private class NewerDigest(
        @CborLabel(1) val millis: Long,
        @CborLabel(3) val revision: Long,
        @CborLabel(20) val added: List<String>,
    )

    @Serializable
    private class NewerLinkMessage(@CborLabel(1) val digestRequest: NewerDigest, @CborLabel(30) val added: String)

    private fun length(size: Int): ByteArray = ByteBuffer.allocate(4).putInt(size).array()

    private fun withNodes(vararg nodes: TestNode, check: (List<TestNode>) -> Unit) {
        connect(nodes.toList())
        check(nodes.toList())
        nodes.forEach { it.close() }
    }
}
