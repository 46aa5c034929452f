package dev.bergamotwind.api

import java.net.InetAddress
import java.net.InetSocketAddress

/**
 * Returns the address of [host] and [port], or null unless [host] is the literal IPv4 address of a single machine and
 * [port] is a port. Never resolves a name, which could block the calling thread.
 */
public fun ipv4SocketAddressOrNull(host: String, port: Int): InetSocketAddress? {
    if (port !in PORTS || !IPV4_LITERAL.matches(host)) return null
    val address = InetAddress.getByAddress(host.split('.').map { it.toInt().toByte() }.toByteArray())
    val isBroadcast = address.address.all { it == ALL_BITS }
    return if (address.isAnyLocalAddress || address.isMulticastAddress || isBroadcast) {
        null
    } else {
        InetSocketAddress(address, port)
    }
}

private val PORTS = 1..65_535
private const val ALL_BITS: Byte = -1
private val IPV4_LITERAL = Regex("""((25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(\.(?!$)|$)){4}""")
