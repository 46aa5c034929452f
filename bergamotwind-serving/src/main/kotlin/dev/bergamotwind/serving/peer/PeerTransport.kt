package dev.bergamotwind.serving.peer

import java.net.InetSocketAddress

/** Sends datagrams to other VMs; they may be lost, duplicated or reordered. */
public fun interface PeerTransport {
    /** Sends [bytes] to [address]. */
    public fun send(address: InetSocketAddress, bytes: ByteArray)
}
