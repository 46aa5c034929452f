package dev.bergamotwind.node.entry

import dev.bergamotwind.api.Header
import dev.bergamotwind.core.event
import dev.bergamotwind.fleetplatform.CallCodec
import dev.bergamotwind.fleetplatform.PlatformDecoder
import dev.bergamotwind.fleetplatform.PlatformOrderTransport
import dev.bergamotwind.fleetplatform.PlatformSettings
import dev.bergamotwind.fleetplatform.PlatformStoreClient
import dev.bergamotwind.fleetplatform.PlatformTargetTransport
import dev.bergamotwind.serving.CallerConnections
import dev.bergamotwind.serving.ServingPorts
import dev.bergamotwind.serving.ServingVm
import dev.bergamotwind.serving.peer.PeerTransport
import dev.bergamotwind.transport.DatagramPort
import dev.bergamotwind.transport.EventLoop
import dev.bergamotwind.transport.HttpDialer
import dev.bergamotwind.transport.HttpListener
import dev.bergamotwind.transport.ListenerLimits
import sun.misc.Signal
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** The process of an entry VM on the users' platform, from start to shutdown. */
internal class EntryProcess private constructor(private val path: Path, private val settings: PlatformSettings) {
    private val log = EventLog().also(LibraryMessages::recordTo)
    private val recorder = MetricsRecorder(log)
    private val loop = EventLoop(onUnexpectedEnd = ::haltProcess)
    private val servingLoop = NettyServingLoop(loop)
    private val dialer = HttpDialer(loop, ::recordForeignAnswer)
    private val callers = HttpListener(loop, ::limits) { request, exchange ->
        vm.serve(CallCodec.decode(request), exchange)
    }
    private val readiness = HttpListener(loop, { ListenerLimits() }) { _, exchange ->
        exchange.answer(if (vm.isReady) READY else NOT_READY, emptyList(), ByteArray(0), false)
    }
    private val metrics = HttpListener(loop, { ListenerLimits() }) { request, exchange ->
        val parts = vm.promptParts
        val text = if (request.path == PromptPartTable.PATH) PromptPartTable.render(parts) else recorder.scrape(parts)
        exchange.answer(READY, listOf(Header("Content-Type", "text/plain")), text.toByteArray(), false)
    }
    private val peerPort = DatagramPort(loop) { sender, bytes -> vm.onPeerDatagram(sender, bytes) }
    private val vm: ServingVm = ServingVm(settings.serving, ports())

    private fun start() {
        installSignalHandlers()
        peerPort.open(InetSocketAddress(settings.serving.host, settings.serving.peerPort))
        readiness.open(settings.readinessAddress)
        metrics.open(settings.metricsAddress)
        loop.execute { vm.start() }
        callers.open(settings.callerAddress)
    }

    private fun ports(): ServingPorts = ServingPorts(
        loop = servingLoop,
        store = PlatformStoreClient(settings.storeAddress, dialer, servingLoop) { recordUnreadable("store", it) },
        layout = PlatformDecoder.layout,
        decoder = PlatformDecoder,
        transport = PlatformTargetTransport(dialer),
        orders = PlatformOrderTransport(dialer, servingLoop) { recordUnreadable("target", it) },
        peers = PeerTransport { address, bytes -> peerPort.send(address, bytes) },
        refusalHeaders = CallCodec,
        callers = object : CallerConnections {
            override val hasUnsentAnswers get() = callers.hasUnsentAnswers

            override fun closeIdle() = callers.closeIdle()
        },
        recorder = recorder,
        answerMemory = loop.answerMemory,
    )

    private fun recordForeignAnswer(sender: InetSocketAddress, description: String) {
        recorder.event("answer.foreign") {
            field("sender", "${sender.hostString}:${sender.port}")
            field("answer", description)
        }
    }

    private fun recordUnreadable(source: String, fault: String) {
        recorder.event("answer.unreadable") {
            field("source", source)
            field("fault", fault)
        }
    }

    private fun limits(): ListenerLimits = vm.currentConfiguration?.limits?.let {
        ListenerLimits(it.headerBytes, it.bodyBytes, it.headerTimeoutMillis, it.idleTimeoutMillis)
    } ?: ListenerLimits()

    private fun installSignalHandlers() {
        Signal.handle(Signal("HUP")) { checkChangedSettings() }
        Runtime.getRuntime().addShutdownHook(Thread(::stop, "shutdown"))
    }

    // Only validates the file and reports address changes; the platform restarts the process to apply those.
    private fun checkChangedSettings() {
        PlatformSettings.read(path).fold(
            { fault -> recorder.event("settings.unreadable") { field("fault", fault) } },
            { read ->
                recorder.event("settings.reloaded") {
                    val sameAddresses = read.callerAddress == settings.callerAddress &&
                        read.readinessAddress == settings.readinessAddress
                    field("same_addresses", sameAddresses)
                }
            },
        )
    }

    // Runs no shutdown hook: a planned stop needs the loop.
    private fun haltProcess() {
        System.err.println("event=loop.ended")
        Runtime.getRuntime().halt(LOOP_ENDED_EXIT_CODE)
    }

    private fun stop() {
        val stopped = CountDownLatch(1)
        loop.execute { vm.stop { stopped.countDown() } }
        stopped.await()
        log.close()
    }

    companion object {
        /** Command-line argument that selects this process. */
        const val COMMAND = "entry"
        private const val READY = 200
        private const val NOT_READY = 503
        private const val INVALID_SETTINGS_EXIT_CODE = 1
        private const val LOOP_ENDED_EXIT_CODE = 2

        /** Runs the process until it is stopped. */
        fun run() {
            val name = PlatformSettings.PATH_VARIABLE
            val path =
                System.getenv(name)?.let(Path::of)
                    ?: exitWithInvalidSettings("$name is not set; set it to the path of the settings file")
            val settings = PlatformSettings.read(path).fold({ exitWithInvalidSettings(it) }, { it })
            start(path, settings)
        }

        /** Starts a process with [settings], which were read from [path]. */
        fun start(path: Path, settings: PlatformSettings): Unit = EntryProcess(path, settings).start()

        private fun exitWithInvalidSettings(fault: String): Nothing {
            System.err.println("event=settings.unreadable fault=\"$fault\"")
            exitProcess(INVALID_SETTINGS_EXIT_CODE)
        }
    }
}
