package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.VmId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.security.SecureRandom

/**
 * Mutual authentication: both sides send a nonce, the dialler proves its knowledge of the secret first, so a stranger
 * gets no proof from the acceptor.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class Handshake(private val self: NodeIdentity, private val settings: MembershipSettings) {
    suspend fun dial(frames: FrameChannel): Link {
        val own = hello()
        frames.write(own)
        val other = frames.read()
        val peer = identify(other)
        val keys = LinkKeys(settings.secret, own, other)
        frames.write(wire.encodeToByteArray(Proof(keys.proof(fromDialer = true))))
        verify(keys, frames.read(), fromDialer = false)
        return Link(peer, dialled = true, frames, keys)
    }

    suspend fun accept(frames: FrameChannel): Link {
        val other = frames.read()
        val peer = identify(other)
        val own = hello()
        frames.write(own)
        val keys = LinkKeys(settings.secret, other, own)
        verify(keys, frames.read(), fromDialer = true)
        frames.write(wire.encodeToByteArray(Proof(keys.proof(fromDialer = false))))
        return Link(peer, dialled = false, frames, keys)
    }

    private fun hello(): ByteArray {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
        val versions = settings.versions
        val hello =
            Hello(versions.oldest, versions.newest, self.id.value, self.failureDomain.value, self.address, nonce)
        return wire.encodeToByteArray(hello)
    }

    private fun identify(bytes: ByteArray): NodeIdentity {
        val hello = decode<Hello>(bytes)
        settings.versions.common(ProtocolVersions(hello.oldest, hello.newest)) ?: throw LinkException(
            "version",
            "the peer speaks versions ${hello.oldest} to ${hello.newest}, this node ${settings.versions}",
        )
        return NodeIdentity(VmId(hello.id), FailureDomainId(hello.failureDomain), hello.address)
    }

    private fun verify(keys: LinkKeys, bytes: ByteArray, fromDialer: Boolean) {
        if (!keys.accepts(decode<Proof>(bytes).mac, fromDialer)) {
            throw LinkException("authentication", "the peer does not know the secret of the nodes")
        }
    }

    private inline fun <reified T> decode(bytes: ByteArray): T = try {
        wire.decodeFromByteArray<T>(bytes)
    } catch (malformed: SerializationException) {
        throw LinkException("malformed", "a handshake message is malformed: ${malformed.message}", malformed)
    }

    private companion object {
        const val NONCE_BYTES = 32
        val random = SecureRandom()
    }
}
