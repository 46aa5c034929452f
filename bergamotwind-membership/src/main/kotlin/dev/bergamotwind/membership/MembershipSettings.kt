package dev.bergamotwind.membership

import kotlin.time.Duration

/**
 * Settings of the links between nodes. [secret] is shared by all nodes; [listenAddress] is `IP:PORT`, where port 0
 * selects a free one.
 */
public class MembershipSettings(
    public val listenAddress: String,
    internal val secret: ByteArray,
    public val peers: List<PeerAddress> = emptyList(),
    public val topology: Topology = FullMesh,
    public val versions: ProtocolVersions = ProtocolVersions(),
    public val digestInterval: Duration = DEFAULT_DIGEST_INTERVAL,
    public val bytesPerSecond: Int = DEFAULT_BYTES_PER_SECOND,
    public val peerTimeout: Duration = DEFAULT_PEER_TIMEOUT,
    public val handshakeTimeout: Duration = DEFAULT_HANDSHAKE_TIMEOUT,
    public val maxBackoff: Duration = DEFAULT_MAX_BACKOFF,
    public val maxFrameBytes: Int = DEFAULT_MAX_FRAME_BYTES,
) {
    init {
        require(secret.size >= MIN_SECRET_BYTES) {
            "the secret of the nodes has ${secret.size} bytes; use at least $MIN_SECRET_BYTES random bytes"
        }
    }
}
