package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ipv4SocketAddressOrNull
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.MEMBER_KEY_PREFIX
import dev.bergamotwind.serving.decode
import dev.bergamotwind.serving.store.StoreItem
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Reads the registrations of VMs in the platform's store; one that names no usable VM is recorded and ignored. */
@OptIn(ExperimentalSerializationApi::class)
internal class PeerRegistrations(private val peers: Peers, private val recorder: EventRecorder) {
    /** Applies the registration [item]. */
    fun onItemWritten(item: StoreItem) {
        val member = Cbor.decode(PeerMember.serializer(), item.value).fold({ return recordUnusable(item, it) }, { it })
        val address = ipv4SocketAddressOrNull(member.host, member.port)
        when {
            item.key != MEMBER_KEY_PREFIX + member.vm -> recordUnusable(item, "the item names ${member.vm}")
            address == null -> recordUnusable(item, "the address is not an IPv4 address with a port")
            else -> peers.onRegistered(member, address)
        }
    }

    private fun recordUnusable(item: StoreItem, fault: String): Unit = recorder.event("peer.unreadable") {
        field("key", item.key)
        field("fault", fault)
        field("revision", item.revision)
    }
}
