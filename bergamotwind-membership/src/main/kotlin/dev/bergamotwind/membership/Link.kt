package dev.bergamotwind.membership

import kotlinx.coroutines.channels.Channel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.nio.ByteBuffer

/** An authenticated connection to [peer]. Each frame is a sequence number, a message and its MAC. */
@OptIn(ExperimentalSerializationApi::class)
internal class Link(val peer: NodeIdentity, val dialled: Boolean, private val frames: FrameChannel, keys: LinkKeys) {
    private val sendMac = keys.frameMac(fromDialer = dialled)
    private val receiveMac = keys.frameMac(fromDialer = !dialled)
    private val outgoing = Channel<ByteArray>(QUEUED_FRAMES)
    private var lastSent = 0L
    private var lastReceived = 0L

    /** Queues [message] and returns its sequence number and size, or null when the peer does not take it. */
    fun send(message: LinkMessage): Sent? {
        val payload = wire.encodeToByteArray(message)
        val sequence = ++lastSent
        val frame = ByteBuffer.allocate(Long.SIZE_BYTES + payload.size + FrameMac.SIZE_BYTES)
            .putLong(sequence).put(payload).put(sendMac.of(sequence, payload)).array()
        return Sent(sequence, frame.size + Int.SIZE_BYTES).takeIf { outgoing.trySend(frame).isSuccess }
    }

    /** Writes queued frames until the link is closed. */
    suspend fun pump() {
        for (frame in outgoing) frames.write(frame)
    }

    /** Returns the next message; fails when it is not the next one that the peer sent. */
    suspend fun receive(): Received {
        val frame = frames.read()
        if (frame.size < Long.SIZE_BYTES + FrameMac.SIZE_BYTES) throw LinkException("malformed", "a frame is too short")
        val sequence = ByteBuffer.wrap(frame).getLong()
        val payload = frame.copyOfRange(Long.SIZE_BYTES, frame.size - FrameMac.SIZE_BYTES)
        val mac = frame.copyOfRange(frame.size - FrameMac.SIZE_BYTES, frame.size)
        if (!receiveMac.accepts(
                sequence,
                payload,
                mac,
            )
        ) {
            throw LinkException("authentication", "a frame has a wrong MAC")
        }
        if (sequence != lastReceived + 1) {
            throw LinkException(
                "sequence",
                "frame $sequence came after $lastReceived; it is replayed or others are lost",
            )
        }
        lastReceived = sequence
        try {
            return Received(sequence, wire.decodeFromByteArray<LinkMessage>(payload))
        } catch (malformed: SerializationException) {
            throw LinkException("malformed", "a message is malformed: ${malformed.message}", malformed)
        }
    }

    fun close() {
        outgoing.close()
        frames.close()
    }

    class Sent(val sequence: Long, val bytes: Int)

    class Received(val sequence: Long, val message: LinkMessage)

    private companion object {
        // A peer that takes no frames for as long as it takes to queue these is frozen.
        const val QUEUED_FRAMES = 64
    }
}
