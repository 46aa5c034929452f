package dev.bergamotwind.membership

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Computes and verifies the MACs of the frames of one direction of a link. Used by one thread at a time. */
internal class FrameMac(key: ByteArray) {
    private val mac = LinkKeys.newMac(key)

    fun compute(sequence: Long, payload: ByteArray): ByteArray {
        mac.update(ByteBuffer.allocate(Long.SIZE_BYTES).putLong(sequence).array())
        return mac.doFinal(payload).copyOf(SIZE_BYTES)
    }

    fun verify(sequence: Long, payload: ByteArray, received: ByteArray): Boolean =
        MessageDigest.isEqual(received, compute(sequence, payload))

    companion object {
        /** HMAC-SHA256 truncated to 128 bits, which RFC 2104 permits. */
        const val SIZE_BYTES: Int = 16
    }
}
