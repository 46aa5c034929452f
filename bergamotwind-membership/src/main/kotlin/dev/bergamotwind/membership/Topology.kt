package dev.bergamotwind.membership

/** Decides which nodes hold links to each other and what they exchange. */
public interface Topology {
    /** Returns the peers among [peers] with which [self] exchanges digests. */
    public fun neighbours(self: PeerAddress, peers: List<PeerAddress>): List<PeerAddress>

    /** Whether [self] and [peer] exchange the details of single targets, or only summaries of failure domains. */
    public fun exchangesDetails(self: PeerAddress, peer: PeerAddress): Boolean
}
