package dev.bergamotwind.membership

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.VmId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.security.SecureRandom

/**
 * Mutual authentication. Both sides send a nonce; the dialler proves its knowledge of the secret first, so that an
 * unauthenticated peer gets no proof from the acceptor.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class Handshake(private val self: NodeIdentity, private val settings: MembershipSettings) {
    suspend fun dial(frames: FrameChannel): Link {
        val ownHello = encodeHello()
        frames.writeFrame(ownHello)
        val peerHello = frames.readFrame()
        val peer = decodeIdentity(peerHello)
        val keys = LinkKeys(settings.secret, ownHello, peerHello)
        frames.writeFrame(messageCbor.encodeToByteArray(Proof(keys.proof(fromDialer = true))))
        verifyProof(keys, frames.readFrame(), fromDialer = false)
        return Link(peer, isOutbound = true, frames, keys)
    }

    suspend fun accept(frames: FrameChannel): Link {
        val peerHello = frames.readFrame()
        val peer = decodeIdentity(peerHello)
        val ownHello = encodeHello()
        frames.writeFrame(ownHello)
        val keys = LinkKeys(settings.secret, peerHello, ownHello)
        verifyProof(keys, frames.readFrame(), fromDialer = true)
        frames.writeFrame(messageCbor.encodeToByteArray(Proof(keys.proof(fromDialer = false))))
        return Link(peer, isOutbound = false, frames, keys)
    }

    private fun encodeHello(): ByteArray {
        val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
        val versions = settings.versions
        val hello =
            Hello(versions.oldest, versions.newest, self.id.value, self.failureDomain.value, self.address, nonce)
        return messageCbor.encodeToByteArray(hello)
    }

    private fun decodeIdentity(bytes: ByteArray): NodeIdentity {
        val hello = decode<Hello>(bytes)
        settings.versions.newestCommon(ProtocolVersions(hello.oldestVersion, hello.newestVersion))
            ?: throw LinkException(
                "version",
                "the peer supports protocol versions ${hello.oldestVersion} to ${hello.newestVersion}, " +
                    "this node ${settings.versions}",
            )
        return NodeIdentity(VmId(hello.id), FailureDomainId(hello.failureDomain), hello.address)
    }

    private fun verifyProof(keys: LinkKeys, bytes: ByteArray, fromDialer: Boolean) {
        if (!keys.verifyProof(decode<Proof>(bytes).mac, fromDialer)) {
            throw LinkException("authentication", "the peer does not know the secret of the nodes")
        }
    }

    private inline fun <reified T> decode(bytes: ByteArray): T = try {
        messageCbor.decodeFromByteArray<T>(bytes)
    } catch (malformed: SerializationException) {
        throw LinkException("malformed", "a handshake message is malformed: ${malformed.message}", malformed)
    }

    private companion object {
        const val NONCE_BYTES = 32
        val random = SecureRandom()
    }
}
