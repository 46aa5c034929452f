package dev.bergamotwind.membership

/** Input of the membership duty. */
internal sealed interface MembershipMessage {
    class Opened(val link: Link) : MembershipMessage

    class Arrived(val link: Link, val received: Link.Received, val nanos: Long) : MembershipMessage

    class Closed(val link: Link, val reason: String) : MembershipMessage

    class Published(val digest: LocalDigest) : MembershipMessage

    class PeersChanged(val peers: List<PeerAddress>) : MembershipMessage
}
