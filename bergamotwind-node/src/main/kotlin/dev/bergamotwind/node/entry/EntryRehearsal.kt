package dev.bergamotwind.node.entry

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Header
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.fleetplatform.StubPlatform
import dev.bergamotwind.serving.ServingSettings
import dev.bergamotwind.transport.AnswerListener
import dev.bergamotwind.transport.EventLoop
import dev.bergamotwind.transport.HttpDialer
import dev.bergamotwind.transport.HttpListener
import dev.bergamotwind.transport.ListenerLimits
import dev.bergamotwind.transport.OutgoingRequest
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * Runs an entry VM for a moment against a platform within the same process, on loopback. A build runs it with
 * `-XX:ArchiveClassesAtExit`, so that the processes of a deployment find their classes loaded and checked.
 */
internal object EntryRehearsal {
    /** Argument that selects the rehearsal. */
    const val COMMAND = "rehearse-entry"

    /** Milliseconds until the VM has read the platform's store. */
    private const val START_MILLIS = 1_500L

    /** Milliseconds between requests, and after the last one until the end. */
    private const val REQUEST_MILLIS = 100L
    private const val REQUESTS = 10
    private const val TIMEOUT_MILLIS = 1_000
    private val loopback = InetAddress.getLoopbackAddress()

    /** Runs the rehearsal and ends the process. */
    fun run() {
        val store = freeAddress()
        val callers = freeAddress()
        val platform = StubPlatform(store)
        val loop = EventLoop()
        HttpListener(loop, { ListenerLimits() }, platform::handleRequest).open(store)
        val settings = platform.settings(serving(), callers, freeAddress(), freeAddress())
        EntryProcess.start(Path.of("rehearsal"), settings)
        Thread.sleep(START_MILLIS)
        val dialer = HttpDialer(loop)
        repeat(REQUESTS) { number ->
            loop.execute { dialer.send(callers, request(platform, number), Ignored) }
            Thread.sleep(REQUEST_MILLIS)
        }
        exitProcess(0)
    }

    private fun request(platform: StubPlatform, number: Int) = OutgoingRequest(
        method = "POST",
        path = platform.servicePath,
        headers = platform.callerHeaders("rehearsal-$number"),
        body = ByteArray(1),
        connectTimeoutMillis = TIMEOUT_MILLIS,
        reuseIdleMillis = TIMEOUT_MILLIS.toLong(),
    )

    private fun serving(): ServingSettings {
        val domain = FailureDomainId("zone")
        return ServingSettings(
            vm = VmId("rehearsal"),
            host = loopback.hostAddress,
            peerPort = freeAddress().port,
            failureDomain = domain,
            regions = mapOf(domain to RegionId("region")),
            isFirstStart = true,
            retryShare = 0.0,
            retryFixed = 0.0,
            retryWindowMillis = TIMEOUT_MILLIS.toLong(),
            rateToleranceTokens = 0.0,
            leaseMillis = TIMEOUT_MILLIS.toLong(),
            watchPauseMillis = TIMEOUT_MILLIS.toLong(),
            handOverMillis = TIMEOUT_MILLIS.toLong(),
            graceMillis = TIMEOUT_MILLIS.toLong(),
        )
    }

    private fun freeAddress() = InetSocketAddress(loopback, ServerSocket(0, 1, loopback).use { it.localPort })

    private object Ignored : AnswerListener {
        override fun head(status: Int, headers: List<Header>) = Unit

        override fun bytes(bytes: ByteArray) = Unit

        override fun complete() = Unit

        override fun notSent(reason: String) = Unit

        override fun broken(reason: String) = Unit
    }
}
