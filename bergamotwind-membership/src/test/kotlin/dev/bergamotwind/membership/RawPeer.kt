@file:OptIn(ExperimentalSerializationApi::class)

package dev.bergamotwind.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import java.nio.ByteBuffer

/** Speaks the protocol byte by byte, so that a test can break it at any point. */
class RawPeer(address: String) : AutoCloseable {
    private val socket = Socket("127.0.0.1", address.substringAfter(':').toInt()).apply { soTimeout = 3_000 }
    private val input = DataInputStream(socket.getInputStream())
    private val output = DataOutputStream(socket.getOutputStream())
    private lateinit var mac: FrameMac

    fun authenticate(secret: ByteArray = SECRET, versions: ProtocolVersions = ProtocolVersions()): RawPeer = apply {
        val hello = Hello(versions.oldest, versions.newest, "raw", "west", "127.0.0.1:1", ByteArray(32))
        val own = wire.encodeToByteArray(hello)
        write(own)
        val keys = LinkKeys(secret, own, read())
        write(wire.encodeToByteArray(Proof(keys.proof(fromDialer = true))))
        mac = keys.frameMac(fromDialer = true)
        check(keys.accepts(wire.decodeFromByteArray<Proof>(read()).mac, fromDialer = false)) { "wrong proof" }
    }

    fun frame(sequence: Long, payload: ByteArray = wire.encodeToByteArray(request())): ByteArray =
        ByteBuffer.allocate(Long.SIZE_BYTES + payload.size + FrameMac.SIZE_BYTES)
            .putLong(sequence).put(payload).put(mac.of(sequence, payload)).array()

    private fun request() = LinkMessage(digestRequest = DigestMessage(1, revision = 7))

    fun write(frame: ByteArray) = raw(ByteBuffer.allocate(4 + frame.size).putInt(frame.size).put(frame).array())

    fun raw(bytes: ByteArray) {
        output.write(bytes)
        output.flush()
    }

    fun read(): ByteArray = ByteArray(input.readInt()).also(input::readFully)

    /** Whether the node closes the connection, after answers that it had already sent. */
    fun isClosed(): Boolean = try {
        while (true) read()
        @Suppress("UNREACHABLE_CODE")
        false
    } catch (_: java.net.SocketTimeoutException) {
        false
    } catch (_: java.io.IOException) {
        true
    }

    override fun close() = socket.close()
}
