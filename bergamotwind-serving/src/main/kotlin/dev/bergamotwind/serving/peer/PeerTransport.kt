package dev.bergamotwind.serving.peer

import java.net.InetSocketAddress

/** Carries datagrams to other VMs; they may be lost, doubled or overtaken. */
public fun interface PeerTransport {
    /** Sends [bytes] to [address]. */
    public fun send(address: InetSocketAddress, bytes: ByteArray)
}
