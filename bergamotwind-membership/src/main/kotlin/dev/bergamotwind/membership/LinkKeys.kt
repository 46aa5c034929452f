package dev.bergamotwind.membership

import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Keys of one link. They are derived from the shared secret and from both hello messages with their nonces, so a
 * proof or a frame of another link or of the other direction is not valid on this one.
 */
internal class LinkKeys(private val secret: ByteArray, dialerHello: ByteArray, acceptorHello: ByteArray) {
    private val transcriptHash: ByteArray = MessageDigest.getInstance("SHA-256").run {
        update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(dialerHello.size).array())
        update(dialerHello)
        digest(acceptorHello)
    }

    fun proof(fromDialer: Boolean): ByteArray = deriveKey("proof", fromDialer)

    /** Returns whether [received] is the proof of the dialler or the acceptor, in constant time. */
    fun verifyProof(received: ByteArray, fromDialer: Boolean): Boolean =
        MessageDigest.isEqual(received, proof(fromDialer))

    fun frameMac(fromDialer: Boolean): FrameMac = FrameMac(deriveKey("frames", fromDialer))

    private fun deriveKey(purpose: String, fromDialer: Boolean): ByteArray = newMac(secret).run {
        update("bergamotwind $purpose ${if (fromDialer) "dialer" else "acceptor"}".toByteArray())
        doFinal(transcriptHash)
    }

    companion object {
        const val MAC_ALGORITHM: String = "HmacSHA256"

        fun newMac(key: ByteArray): Mac =
            Mac.getInstance(MAC_ALGORITHM).apply { init(SecretKeySpec(key, MAC_ALGORITHM)) }
    }
}
