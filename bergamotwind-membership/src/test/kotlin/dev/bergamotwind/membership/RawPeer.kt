@file:OptIn(ExperimentalSerializationApi::class)

package dev.bergamotwind.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import java.nio.ByteBuffer

/** A peer that speaks the protocol byte by byte, so that a test can violate it at any point. */
class RawPeer(address: String) : AutoCloseable {
    private val socket = Socket("127.0.0.1", address.substringAfter(':').toInt()).apply { soTimeout = 3_000 }
    private val input = DataInputStream(socket.getInputStream())
    private val output = DataOutputStream(socket.getOutputStream())
    private lateinit var mac: FrameMac

    fun authenticate(secret: ByteArray = TEST_SECRET, versions: ProtocolVersions = ProtocolVersions()): RawPeer =
        apply {
            val hello = Hello(versions.oldest, versions.newest, "raw", "west", "127.0.0.1:1", ByteArray(32))
            val ownHello = messageCbor.encodeToByteArray(hello)
            writeFrame(ownHello)
            val keys = LinkKeys(secret, ownHello, readFrame())
            writeFrame(messageCbor.encodeToByteArray(Proof(keys.proof(fromDialer = true))))
            mac = keys.frameMac(fromDialer = true)
            val peerProof = messageCbor.decodeFromByteArray<Proof>(readFrame())
            check(keys.verifyProof(peerProof.mac, fromDialer = false)) { "wrong proof" }
        }

    fun buildFrame(sequence: Long, payload: ByteArray = messageCbor.encodeToByteArray(digestRequest())): ByteArray =
        ByteBuffer.allocate(Long.SIZE_BYTES + payload.size + FrameMac.SIZE_BYTES)
            .putLong(sequence).put(payload).put(mac.compute(sequence, payload)).array()

    private fun digestRequest() = LinkMessage(digestRequest = DigestMessage(1, revision = 7))

    fun writeFrame(frame: ByteArray) =
        writeBytes(ByteBuffer.allocate(4 + frame.size).putInt(frame.size).put(frame).array())

    fun writeBytes(bytes: ByteArray) {
        output.write(bytes)
        output.flush()
    }

    fun readFrame(): ByteArray = ByteArray(input.readInt()).also(input::readFully)

    /** Whether the node closes the connection, possibly after responses that it had already sent. */
    fun isClosedByNode(): Boolean = try {
        while (true) readFrame()
        @Suppress("UNREACHABLE_CODE")
        false
    } catch (_: java.net.SocketTimeoutException) {
        false
    } catch (_: java.io.IOException) {
        true
    }

    override fun close() = socket.close()
}
