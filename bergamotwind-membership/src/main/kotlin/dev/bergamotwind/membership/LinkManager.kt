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

/** Accepts connections from peers and maintains connections to the peers that this node dials. */
internal class LinkManager(
    private val self: NodeIdentity,
    private val settings: MembershipSettings,
    private val listener: LinkListener,
) : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val diallingJobs = ConcurrentHashMap<String, Job>()
    private val traffic = TrafficCounter()
    private var server: ServerSocket? = null
    private var identity = self

    /** The identity with the port that is in use. */
    val boundIdentity: NodeIdentity get() = identity

    val boundPort: Int get() = server?.port ?: 0

    fun traffic(): TrafficSnapshot = traffic.snapshot()

    fun start() {
        val bound = runBlocking { aSocket(selector).tcp().bind(socketAddress(settings.listenAddress)) }
        server = bound
        val host = self.address.substringBeforeLast(':')
        if (self.address.endsWith(":0")) identity = self.copy(address = "$host:${bound.port}")
        scope.launch { while (isActive) acceptConnection(bound) }
    }

    /** Maintains a connection to [address], dialling again after each failure, until [disconnect]. */
    fun connect(address: String) {
        diallingJobs.computeIfAbsent(address) { scope.launch { maintainConnection(address) } }
    }

    fun disconnect(address: String) {
        diallingJobs.remove(address)?.cancel()
    }

    private suspend fun maintainConnection(address: String) {
        var backoff = DEFAULT_INITIAL_BACKOFF
        while (scope.isActive) {
            val startNanos = System.nanoTime()
            val socket = openSocket(address)
            if (socket != null) runConnection(socket, address) { Handshake(identity, settings).dial(it) }
            val durationNanos = System.nanoTime() - startNanos
            if (durationNanos > settings.handshakeTimeout.inWholeNanoseconds) backoff = DEFAULT_INITIAL_BACKOFF
            // Jitter keeps the nodes of a healed failure domain from dialling all at once.
            delay(backoff * Random.nextDouble(MIN_JITTER_FACTOR, 1.0))
            backoff = minOf(backoff * 2, settings.maxBackoff)
        }
    }

    private suspend fun openSocket(address: String): Socket? = runReportingFailure(address) {
        withTimeout(settings.handshakeTimeout) {
            aSocket(selector).tcp().connect(socketAddress(address)) { noDelay = true }
        }
    }

    // A failed accept, for example for lack of file descriptors, must not end the accept loop.
    private suspend fun acceptConnection(bound: ServerSocket) {
        val socket = runReportingFailure(settings.listenAddress) { bound.accept() }
        if (socket == null) delay(DEFAULT_INITIAL_BACKOFF) else launchInbound(socket)
    }

    private fun launchInbound(socket: Socket) {
        scope.launch {
            runConnection(socket, socket.remoteAddress.toString()) { Handshake(identity, settings).accept(it) }
        }
    }

    private suspend fun runConnection(socket: Socket, address: String, handshake: suspend (FrameChannel) -> Link) {
        val frames = FrameChannel(socket, settings.maxFrameBytes, traffic)
        val link = runReportingFailure(address) { withTimeout(settings.handshakeTimeout) { handshake(frames) } }
        if (link == null) frames.close() else runLink(link)
    }

    private suspend fun runLink(link: Link) {
        listener.onOpened(link)
        val writer = scope.launch { runCatching { link.writeQueuedFrames() }.onFailure { link.close() } }
        val reason = closeReasonOf { while (true) listener.onMessage(link, link.receive()) }
        writer.cancel()
        link.close()
        listener.onClosed(link, reason)
    }

    // Sockets fail with many kinds of exceptions; each one ends only its own connection.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun closeReasonOf(receiveLoop: suspend () -> Unit): String = try {
        receiveLoop()
        "closed"
    } catch (violation: LinkException) {
        violation.reason
    } catch (_: CancellationException) {
        "cancelled"
    } catch (failure: Exception) {
        failure.javaClass.simpleName
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun <T> runReportingFailure(address: String, action: suspend () -> T): T? = try {
        action()
    } catch (failure: Exception) {
        val reason = (failure as? LinkException)?.reason ?: failure.javaClass.simpleName
        if (scope.isActive) listener.onConnectionFailed(address, reason, failure.message.orEmpty())
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
        const val MIN_JITTER_FACTOR = 0.5
    }
}
