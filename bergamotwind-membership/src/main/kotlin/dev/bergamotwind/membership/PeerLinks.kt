package dev.bergamotwind.membership

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Accepts connections of peers and keeps connections to the dialled ones. */
internal class PeerLinks(
    private val self: NodeIdentity,
    private val settings: MembershipSettings,
    private val observer: LinkObserver,
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val dials = ConcurrentHashMap<String, Job>()
    private val traffic = Traffic()
    private var server: ServerSocket? = null
    private var identity = self

    /** The identity with the port that is in use. */
    val boundIdentity: NodeIdentity get() = identity

    val boundPort: Int get() = server?.port ?: 0

    fun traffic(): TrafficSnapshot = traffic.snapshot()

    fun start() {
        val bound = runBlocking { aSocket(selector).tcp().bind(socketAddress(settings.listen)) }
        server = bound
        val host = self.address.substringBeforeLast(':')
        if (self.address.endsWith(":0")) identity = self.copy(address = "$host:${bound.port}")
        scope.launch { while (isActive) accept(bound) }
    }

    /** Keeps a connection to [address] until [release]. */
    fun dial(address: String) {
        dials.computeIfAbsent(address) { scope.launch { keep(address) } }
    }

    fun release(address: String) {
        dials.remove(address)?.cancel()
    }

    private suspend fun keep(address: String) {
        var backoff = DEFAULT_SHORTEST_BACKOFF
        while (scope.isActive) {
            val started = System.nanoTime()
            val socket = connect(address)
            if (socket != null) use(socket, address) { Handshake(identity, settings).dial(it) }
            val lasted = System.nanoTime() - started
            if (lasted > settings.handshakeTimeout.inWholeNanoseconds) backoff = DEFAULT_SHORTEST_BACKOFF
            // Jitter keeps the nodes of a healed failure domain from dialling all at once.
            delay(backoff * Random.nextDouble(HALF, 1.0))
            backoff = minOf(backoff * 2, settings.longestBackoff)
        }
    }

    private suspend fun connect(address: String): Socket? = guarded(address) {
        withTimeout(settings.handshakeTimeout) {
            aSocket(selector).tcp().connect(socketAddress(address)) {
                noDelay =
                    true
            }
        }
    }

    // A failed accept, for example for lack of file descriptors, must not end the listening.
    private suspend fun accept(bound: ServerSocket) {
        val socket = guarded(settings.listen) { bound.accept() }
        if (socket == null) delay(DEFAULT_SHORTEST_BACKOFF) else serve(socket)
    }

    private fun serve(socket: Socket) {
        scope.launch { use(socket, socket.remoteAddress.toString()) { Handshake(identity, settings).accept(it) } }
    }

    private suspend fun use(socket: Socket, address: String, handshake: suspend (FrameChannel) -> Link) {
        val frames = FrameChannel(socket, settings.frameLimitBytes, traffic)
        val link = guarded(address) { withTimeout(settings.handshakeTimeout) { handshake(frames) } }
        if (link == null) frames.close() else run(link)
    }

    private suspend fun run(link: Link) {
        observer.opened(link)
        val writer = scope.launch { runCatching { link.pump() }.onFailure { link.close() } }
        val reason = reasonOf { while (true) observer.received(link, link.receive()) }
        writer.cancel()
        link.close()
        observer.closed(link, reason)
    }

    // Sockets fail with many kinds of exceptions; each one only ends this connection.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun reasonOf(work: suspend () -> Unit): String = try {
        work()
        "closed"
    } catch (broken: LinkException) {
        broken.reason
    } catch (_: CancellationException) {
        "cancelled"
    } catch (lost: Exception) {
        lost.javaClass.simpleName
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun <T> guarded(address: String, work: suspend () -> T): T? = try {
        work()
    } catch (failure: Exception) {
        val reason = (failure as? LinkException)?.reason ?: failure.javaClass.simpleName
        if (scope.isActive) observer.failed(address, reason, failure.message.orEmpty())
        null
    }

    override fun close() {
        scope.cancel()
        server?.close()
        selector.close()
    }

    private fun socketAddress(address: String) =
        InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

    private companion object {
        const val HALF = 0.5
    }
}
