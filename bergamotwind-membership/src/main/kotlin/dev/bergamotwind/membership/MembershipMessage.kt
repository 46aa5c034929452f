package dev.bergamotwind.membership

/** Input of the membership worker. */
internal sealed interface MembershipMessage {
    class LinkOpened(val link: Link) : MembershipMessage

    class MessageReceived(val link: Link, val received: Link.ReceivedMessage, val receivedNanos: Long) :
        MembershipMessage

    class LinkClosed(val link: Link, val reason: String) : MembershipMessage

    class DigestPublished(val digest: LocalDigest) : MembershipMessage

    class PeersChanged(val peers: List<PeerAddress>) : MembershipMessage
}
