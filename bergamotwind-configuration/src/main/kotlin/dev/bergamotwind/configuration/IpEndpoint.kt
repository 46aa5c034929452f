package dev.bergamotwind.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Failure
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.UnknownHostException

/** A TCP endpoint: an IP [address] without brackets, and a [port]. */
public data class IpEndpoint(val address: String, val port: Int) {
    /** Returns the endpoint as a socket address without name resolution. */
    public fun toSocketAddress(): InetSocketAddress = InetSocketAddress(InetAddress.getByName(address), port)

    override fun toString(): String = if (':' in address) "[$address]:$port" else "$address:$port"

    /** Parses endpoints. */
    public companion object {
        private val portRange = 1..65_535
        private val ipv4Pattern = Regex("""(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!$)|$)){4}""")
        private val ipv6Pattern = Regex("""[0-9a-fA-F:.]*:[0-9a-fA-F:.]*""")

        /** Parses `IPv4:PORT` or `[IPv6]:PORT`; host names are rejected with [Failure.Invalid]. */
        public fun parse(text: String): Either<Failure, IpEndpoint> {
            val address = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
            val port = text.substringAfterLast(':').toIntOrNull()
            return when {
                port == null || port !in portRange || address.isEmpty() -> invalid("'$text' is not IP:PORT")
                ':' in address && !text.startsWith('[') -> invalid("'$text' lacks the brackets of [IPv6]:PORT")
                !isIpAddress(address) -> invalid("'$address' in '$text' is not an IP address")
                else -> IpEndpoint(address, port).right()
            }
        }

        /** Whether [text] is an IPv4 or IPv6 address and not a host name. */
        public fun isIpAddress(text: String): Boolean =
            ipv4Pattern.matches(text) || (ipv6Pattern.matches(text) && isIpv6(text))

        // A bracketed text of hexadecimal digits, colons and dots is only parsed as an address, never resolved by DNS.
        private fun isIpv6(text: String): Boolean = try {
            InetAddress.getByName("[$text]").hostAddress.isNotEmpty()
        } catch (_: UnknownHostException) {
            false
        }

        private fun invalid(message: String): Either<Failure, IpEndpoint> =
            Failure.Invalid(message, "Give an IP address and a port from 1 to 65535; host names are not resolved.")
                .left()
    }
}
