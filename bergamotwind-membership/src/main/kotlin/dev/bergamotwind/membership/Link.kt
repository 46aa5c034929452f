package dev.bergamotwind.membership

import kotlinx.coroutines.channels.Channel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.nio.ByteBuffer

/** An authenticated connection to [peer]. Each frame is a sequence number, a message and its MAC. */
@OptIn(ExperimentalSerializationApi::class)
internal class Link(
    val peer: NodeIdentity,
    val isOutbound: Boolean,
    private val frames: FrameChannel,
    keys: LinkKeys,
) {
    private val sendMac = keys.frameMac(fromDialer = isOutbound)
    private val receiveMac = keys.frameMac(fromDialer = !isOutbound)
    private val outgoingFrames = Channel<ByteArray>(MAX_QUEUED_FRAMES)
    private var lastSentSequence = 0L
    private var lastReceivedSequence = 0L

    /** Queues [message] and returns its sequence number and size, or null if the send queue is full or closed. */
    fun send(message: LinkMessage): QueuedFrame? {
        val payload = messageCbor.encodeToByteArray(message)
        val sequence = ++lastSentSequence
        val frame = ByteBuffer.allocate(Long.SIZE_BYTES + payload.size + FrameMac.SIZE_BYTES)
            .putLong(sequence).put(payload).put(sendMac.compute(sequence, payload)).array()
        return QueuedFrame(sequence, frame.size + Int.SIZE_BYTES).takeIf { outgoingFrames.trySend(frame).isSuccess }
    }

    /** Writes queued frames until the link is closed. */
    suspend fun writeQueuedFrames() {
        for (frame in outgoingFrames) frames.writeFrame(frame)
    }

    /** Returns the next message; fails if its sequence number does not follow the last one received. */
    suspend fun receive(): ReceivedMessage {
        val frame = frames.readFrame()
        if (frame.size < Long.SIZE_BYTES + FrameMac.SIZE_BYTES) throw LinkException("malformed", "a frame is too short")
        val sequence = ByteBuffer.wrap(frame).getLong()
        val payload = frame.copyOfRange(Long.SIZE_BYTES, frame.size - FrameMac.SIZE_BYTES)
        val mac = frame.copyOfRange(frame.size - FrameMac.SIZE_BYTES, frame.size)
        if (!receiveMac.verify(sequence, payload, mac)) {
            throw LinkException("authentication", "a frame has a wrong MAC")
        }
        if (sequence != lastReceivedSequence + 1) {
            throw LinkException(
                "sequence",
                "frame $sequence came after $lastReceivedSequence; frames were replayed or lost",
            )
        }
        lastReceivedSequence = sequence
        try {
            return ReceivedMessage(sequence, messageCbor.decodeFromByteArray<LinkMessage>(payload))
        } catch (malformed: SerializationException) {
            throw LinkException("malformed", "a message is malformed: ${malformed.message}", malformed)
        }
    }

    fun close() {
        outgoingFrames.close()
        frames.close()
    }

    class QueuedFrame(val sequence: Long, val bytes: Int)

    class ReceivedMessage(val sequence: Long, val message: LinkMessage)

    private companion object {
        // A peer that reads no frames while this many are queued is considered frozen.
        const val MAX_QUEUED_FRAMES = 64
    }
}
