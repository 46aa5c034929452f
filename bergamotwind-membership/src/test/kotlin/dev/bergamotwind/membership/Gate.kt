package dev.bergamotwind.membership

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Forwards connections to [target]; [cut] closes and refuses them, [frozen] holds their bytes back. */
class Gate : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val sockets = CopyOnWriteArrayList<Socket>()
    val address = "127.0.0.1:${server.localPort}"

    @Volatile
    var target = 0

    @Volatile
    var frozen = false

    @Volatile
    var cut = false
        set(value) {
            field = value
            if (value) sockets.forEach { it.close() }
        }

    init {
        thread(isDaemon = true) { quietly { while (true) accept(server.accept()) } }
    }

    private fun accept(inbound: Socket) {
        if (cut || target == 0) return inbound.close()
        val outbound = Socket("127.0.0.1", target)
        listOf(inbound, outbound).forEach {
            it.tcpNoDelay = true
            sockets += it
        }
        thread(isDaemon = true) { copy(inbound, outbound) }
        thread(isDaemon = true) { copy(outbound, inbound) }
    }

    private fun copy(from: Socket, to: Socket) = quietly {
        val buffer = ByteArray(8192)
        while (true) {
            val size = from.getInputStream().read(buffer)
            while (frozen) Thread.sleep(10)
            if (size < 0) break
            to.getOutputStream().write(buffer, 0, size)
        }
        to.close()
    }

    private fun quietly(work: () -> Unit) = try {
        work()
    } catch (_: IOException) {
        Unit
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }
}
