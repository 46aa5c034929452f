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
 * Training run for class-data sharing: runs an entry VM for a short time against a simulated platform in the same
 * process, on loopback. The build runs it with `-XX:ArchiveClassesAtExit`, so that deployed processes start from an
 * archive of loaded and verified classes.
 */
internal object EntryRehearsal {
    /** Command-line argument that selects the rehearsal. */
    const val COMMAND = "rehearse-entry"

    /** Time given to the VM for reading the platform's store, in milliseconds. */
    private const val STARTUP_MILLIS = 1_500L

    /** Pause after each request, in milliseconds. */
    private const val REQUEST_INTERVAL_MILLIS = 100L
    private const val REQUEST_COUNT = 10
    private const val TIMEOUT_MILLIS = 1_000
    private val loopback = InetAddress.getLoopbackAddress()

    /** Runs the rehearsal and exits the process. */
    fun run() {
        val store = freeAddress()
        val callers = freeAddress()
        val platform = StubPlatform(store)
        val loop = EventLoop()
        HttpListener(loop, { ListenerLimits() }, platform::handleRequest).open(store)
        val settings = platform.settings(servingSettings(), callers, freeAddress(), freeAddress())
        EntryProcess.start(Path.of("rehearsal"), settings)
        Thread.sleep(STARTUP_MILLIS)
        val dialer = HttpDialer(loop)
        repeat(REQUEST_COUNT) { number ->
            loop.execute { dialer.send(callers, request(platform, number), IgnoringListener) }
            Thread.sleep(REQUEST_INTERVAL_MILLIS)
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

    private fun servingSettings(): ServingSettings {
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

    private object IgnoringListener : AnswerListener {
        override fun head(status: Int, headers: List<Header>) = Unit

        override fun bytes(bytes: ByteArray) = Unit

        override fun complete() = Unit

        override fun notSent(reason: String) = Unit

        override fun broken(reason: String) = Unit
    }
}
