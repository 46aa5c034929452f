package dev.bergamotwind.membership

import kotlin.time.Duration

/**
 * Settings of the links between nodes. [secret] is shared by all nodes; [listen] is `IP:PORT`, where port 0 means a
 * free one.
 */
public class MembershipSettings(
    public val listen: String,
    internal val secret: ByteArray,
    public val peers: List<PeerAddress> = emptyList(),
    public val topology: Topology = FullMesh,
    public val versions: ProtocolVersions = ProtocolVersions(),
    public val digestInterval: Duration = DEFAULT_DIGEST_INTERVAL,
    public val bytesPerSecond: Int = DEFAULT_BYTES_PER_SECOND,
    public val silenceLimit: Duration = DEFAULT_SILENCE_LIMIT,
    public val handshakeTimeout: Duration = DEFAULT_HANDSHAKE_TIMEOUT,
    public val longestBackoff: Duration = DEFAULT_LONGEST_BACKOFF,
    public val frameLimitBytes: Int = DEFAULT_FRAME_LIMIT_BYTES,
) {
    init {
        require(secret.size >= SHORTEST_SECRET_BYTES) {
            "the secret of the nodes has ${secret.size} bytes; use at least $SHORTEST_SECRET_BYTES random bytes"
        }
    }
}
