package dev.bergamotwind.membership

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import java.nio.ByteBuffer

/** Length-prefixed frames over a socket. */
internal class FrameChannel(private val socket: Socket, private val limitBytes: Int, private val traffic: Traffic) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    suspend fun read(): ByteArray {
        val size = input.readInt()
        if (size !in 1..limitBytes) throw LinkException("frame_size", "a frame of $size bytes exceeds $limitBytes")
        return input.readByteArray(size).also { traffic.received(it.size + Int.SIZE_BYTES) }
    }

    suspend fun write(frame: ByteArray) {
        val buffer = ByteBuffer.allocate(Int.SIZE_BYTES + frame.size).putInt(frame.size).put(frame)
        output.writeByteArray(buffer.array())
        output.flush()
        traffic.sent(buffer.capacity())
    }

    fun close(): Unit = socket.close()
}
