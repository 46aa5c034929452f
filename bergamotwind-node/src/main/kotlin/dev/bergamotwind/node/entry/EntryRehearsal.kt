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
import java.util.concurrent.atomic.AtomicInteger
import kotlin.system.exitProcess

/**
 * Training run for class-data sharing: runs two entry VMs for a short time against a simulated platform in the same
 * process, on loopback. The build runs it with `-XX:ArchiveClassesAtExit`, so that deployed processes start from an
 * archive of loaded and verified classes. The run fails when a request is not answered, because classes that a deployed
 * process needs for its first requests would then be missing in the archive.
 */
internal object EntryRehearsal {
    /** Command-line argument that selects the rehearsal. */
    const val COMMAND = "rehearse-entry"

    /** Time given to the VMs for reading the platform's store, in milliseconds. */
    private const val STARTUP_MILLIS = 1_500L

    /** Pause after each request, in milliseconds. */
    private const val REQUEST_INTERVAL_MILLIS = 100L
    private const val ROUNDS = 4
    private const val VM_COUNT = 2

    /** Kinds of requests that are answered in each round: those to the plain service and to the held model. */
    private const val ANSWERED_KINDS = 2
    private const val TIMEOUT_MILLIS = 1_000
    private const val FAILED_EXIT_CODE = 1
    private val loopback = InetAddress.getLoopbackAddress()
    private val answered = AtomicInteger()

    /** Runs the rehearsal and exits the process. */
    fun run() {
        val store = freeAddress()
        val platform = StubPlatform(store)
        val loop = EventLoop()
        HttpListener(loop, { ListenerLimits() }, platform::handleRequest).open(store)
        val callerAddresses = List(VM_COUNT) { freeAddress() }
        callerAddresses.forEachIndexed { number, callers ->
            val serving = servingSettings("rehearsal-$number")
            val settings = platform.settings(serving, callers, freeAddress(), freeAddress())
            EntryProcess.start(Path.of("rehearsal"), settings)
        }
        Thread.sleep(STARTUP_MILLIS)
        val dialer = HttpDialer(loop)
        val requests = callerAddresses.flatMap { callers -> requestsOf(platform).map { callers to it } }
        repeat(ROUNDS) {
            for ((callers, request) in requests) {
                loop.execute { dialer.send(callers, request, AnswerCounter) }
                Thread.sleep(REQUEST_INTERVAL_MILLIS)
            }
        }
        val certain = ROUNDS * VM_COUNT * ANSWERED_KINDS
        if (answered.get() < certain) {
            System.err.println("event=rehearsal.failed answered=${answered.get()} expected=$certain")
            exitProcess(FAILED_EXIT_CODE)
        }
        exitProcess(0)
    }

    private fun requestsOf(platform: StubPlatform) = listOf(
        request(platform.plainPath, platform.callerHeaders("plain")),
        request(platform.enginePath, platform.callerHeaders("held", StubPlatform.HELD_MODEL)),
        request(
            platform.enginePath,
            platform.callerHeaders("adapter", "${StubPlatform.HELD_MODEL}/${StubPlatform.ADAPTER}"),
        ),
        request(platform.enginePath, platform.callerHeaders("absent", StubPlatform.ABSENT_MODEL)),
    )

    private fun request(path: String, headers: List<Header>) = OutgoingRequest(
        method = "POST",
        path = path,
        headers = headers,
        body = ByteArray(1),
        connectTimeoutMillis = TIMEOUT_MILLIS,
        reuseIdleMillis = TIMEOUT_MILLIS.toLong(),
    )

    private fun servingSettings(name: String): ServingSettings {
        val domain = FailureDomainId("zone")
        return ServingSettings(
            vm = VmId(name),
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
            contactMillis = TIMEOUT_MILLIS.toLong(),
            graceMillis = TIMEOUT_MILLIS.toLong(),
        )
    }

    private fun freeAddress() = InetSocketAddress(loopback, ServerSocket(0, 1, loopback).use { it.localPort })

    private object AnswerCounter : AnswerListener {
        private const val SUCCESS = 200

        override fun head(status: Int, headers: List<Header>) {
            if (status == SUCCESS) answered.incrementAndGet()
        }

        override fun bytes(bytes: ByteArray) = Unit

        override fun complete() = Unit

        override fun notSent(reason: String) = Unit

        override fun broken(reason: String) = Unit
    }
}
