package dev.bergamotwind.membership

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Authenticates the frames of one direction of a link. Used by one thread at a time. */
internal class FrameMac(key: ByteArray) {
    private val mac = LinkKeys.mac(key)

    fun of(sequence: Long, payload: ByteArray): ByteArray {
        mac.update(ByteBuffer.allocate(Long.SIZE_BYTES).putLong(sequence).array())
        return mac.doFinal(payload).copyOf(SIZE_BYTES)
    }

    fun accepts(sequence: Long, payload: ByteArray, received: ByteArray): Boolean =
        MessageDigest.isEqual(received, of(sequence, payload))

    companion object {
        /** HMAC-SHA256 truncated to 128 bits, which RFC 2104 permits. */
        const val SIZE_BYTES: Int = 16
    }
}
