package dev.bergamotwind.membership

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import java.nio.ByteBuffer

/** Reads and writes length-prefixed frames on a socket. */
internal class FrameChannel(
    private val socket: Socket,
    private val maxFrameBytes: Int,
    private val traffic: TrafficCounter,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    suspend fun readFrame(): ByteArray {
        val size = input.readInt()
        if (size !in 1..maxFrameBytes) {
            throw LinkException("frame_size", "frame size of $size bytes is not between 1 and $maxFrameBytes")
        }
        return input.readByteArray(size).also { traffic.recordReceived(it.size + Int.SIZE_BYTES) }
    }

    suspend fun writeFrame(frame: ByteArray) {
        val buffer = ByteBuffer.allocate(Int.SIZE_BYTES + frame.size).putInt(frame.size).put(frame)
        output.writeByteArray(buffer.array())
        output.flush()
        traffic.recordSent(buffer.capacity())
    }

    fun close(): Unit = socket.close()
}
