package dev.bergamotwind.membership

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Forwards connections to [upstreamPort]; [refused] closes and refuses them, [stalled] holds their bytes back. */
class FaultInjectingProxy : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val sockets = CopyOnWriteArrayList<Socket>()
    val address = "127.0.0.1:${server.localPort}"

    @Volatile
    var upstreamPort = 0

    @Volatile
    var stalled = false

    @Volatile
    var refused = false
        set(value) {
            field = value
            if (value) sockets.forEach { it.close() }
        }

    init {
        thread(isDaemon = true) { ignoringIoErrors { while (true) forward(server.accept()) } }
    }

    private fun forward(inbound: Socket) {
        if (refused || upstreamPort == 0) return inbound.close()
        val outbound = Socket("127.0.0.1", upstreamPort)
        listOf(inbound, outbound).forEach {
            it.tcpNoDelay = true
            sockets += it
        }
        thread(isDaemon = true) { copyBytes(inbound, outbound) }
        thread(isDaemon = true) { copyBytes(outbound, inbound) }
    }

    private fun copyBytes(from: Socket, to: Socket) = ignoringIoErrors {
        val buffer = ByteArray(8192)
        while (true) {
            val size = from.getInputStream().read(buffer)
            while (stalled) Thread.sleep(10)
            if (size < 0) break
            to.getOutputStream().write(buffer, 0, size)
        }
        to.close()
    }

    private fun ignoringIoErrors(action: () -> Unit) = try {
        action()
    } catch (_: IOException) {
        Unit
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }
}
