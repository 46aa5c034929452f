package dev.bergamotwind.membership

import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Keys of one link. They depend on the shared secret and on both first messages with their nonces, so neither a
 * proof nor a frame of another link or of the other direction is valid here.
 */
internal class LinkKeys(private val secret: ByteArray, dialerHello: ByteArray, acceptorHello: ByteArray) {
    private val transcript: ByteArray = MessageDigest.getInstance("SHA-256").run {
        update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(dialerHello.size).array())
        update(dialerHello)
        digest(acceptorHello)
    }

    fun proof(fromDialer: Boolean): ByteArray = derive("proof", fromDialer)

    /** Returns whether [received] is the proof of the dialler or the acceptor, in constant time. */
    fun accepts(received: ByteArray, fromDialer: Boolean): Boolean = MessageDigest.isEqual(received, proof(fromDialer))

    fun frameMac(fromDialer: Boolean): FrameMac = FrameMac(derive("frames", fromDialer))

    private fun derive(purpose: String, fromDialer: Boolean): ByteArray = mac(secret).run {
        update("bergamotwind $purpose ${if (fromDialer) "dialer" else "acceptor"}".toByteArray())
        doFinal(transcript)
    }

    companion object {
        const val ALGORITHM: String = "HmacSHA256"

        fun mac(key: ByteArray): Mac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(key, ALGORITHM)) }
    }
}
