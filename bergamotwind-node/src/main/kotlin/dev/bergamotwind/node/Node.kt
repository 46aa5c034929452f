package dev.bergamotwind.node

import dev.bergamotwind.admission.AdmissionController
import dev.bergamotwind.admission.KeyAuthenticator
import dev.bergamotwind.admission.RateShareCoordinator
import dev.bergamotwind.admission.RateShareWorker
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.SystemClock
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.configuration.ConfigurationLog
import dev.bergamotwind.configuration.IpEndpoint
import dev.bergamotwind.configuration.NodeSettings
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.core.HybridLogicalClock
import dev.bergamotwind.core.ReportingInvariantMonitor
import dev.bergamotwind.core.TimeLine
import dev.bergamotwind.core.event
import dev.bergamotwind.membership.AdaptiveTopology
import dev.bergamotwind.membership.Membership
import dev.bergamotwind.membership.MembershipSettings
import dev.bergamotwind.membership.NodeIdentity
import dev.bergamotwind.membership.PeerAddress
import dev.bergamotwind.platform.EtcdKeyValueService
import dev.bergamotwind.platform.HttpEngineControl
import dev.bergamotwind.platform.HttpVirtualMachineList
import dev.bergamotwind.platform.PlatformClient
import dev.bergamotwind.platform.PlatformSettings
import dev.bergamotwind.routing.ClaimStore
import dev.bergamotwind.routing.RetryBudget
import dev.bergamotwind.routing.TargetSelector
import dev.bergamotwind.routing.TargetTable
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A node: creates its components from [settings], starts them in order and stops them gracefully. */
internal class Node(private val settings: NodeSettings) {
    private val clock = SystemClock
    private val hybridClock = HybridLogicalClock(clock)
    private val timeLine = TimeLine(settings.vm.value, hybridClock)
    private val recorder = LoggingEventRecorder(timeLine)
    private val monitor = ReportingInvariantMonitor(recorder)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val lifecycle = ProcessLifecycle(monitor, recorder)

    private val keyValueClient = platformClient(settings.keyValueService)
    private val vmListClient = platformClient(settings.virtualMachineList)
    private val keyValueService = EtcdKeyValueService(keyValueClient)
    private val virtualMachineList = HttpVirtualMachineList(vmListClient)

    private val configurationLog = ConfigurationLog(keyValueService, clock)
    private val appliedConfiguration = AppliedConfiguration(monitor)
    private val responsibilities =
        NodeResponsibilities(settings.vm, settings.failureDomain, appliedConfiguration) { membership.view() }
    private val configurationUpdater =
        ConfigurationUpdater(keyValueService, configurationLog, appliedConfiguration, responsibilities, clock, recorder)
    private val membership: Membership = Membership(
        membershipSettings(),
        identity(),
        PeerConfigurationExchange(appliedConfiguration) { configurationUpdater.send(it) },
        clock,
        recorder,
        hybridClock,
    )

    private val admission = AdmissionController(
        OperatorConfiguration(),
        monitor,
        clock,
        settings.limits.queueLength,
        settings.limits.requestsInFlight,
    )
    private val rateShareWorker =
        RateShareWorker(
            RateShareCoordinator(keyValueService, virtualMachineList, settings.vm, clock, admission.rateShareBuckets),
        )
    private val targetTable = TargetTable(monitor, clock)
    private val engineControl = HttpEngineControl { id -> appliedConfiguration.current.targets[id]?.address }
    private val reportReader =
        TargetReportReader(engineControl, responsibilities::assignedTargets) { peerExchange.recordReport(it) }
    private val claimStore = ClaimStore(keyValueService, settings.vm, clock, monitor)
    private val blockingExecutor = Executors.newFixedThreadPool(BLOCKING_THREADS) { work ->
        Thread(work, "blocking").apply { isDaemon = true }
    }
    private val claimMaintenance = Executors.newSingleThreadScheduledExecutor { work ->
        Thread(work, "claim-maintenance").apply { isDaemon = true }
    }
    private val targetClient = TargetClient()
    private val activeRequests = ActiveRequests()

    private val placementInputs =
        PlacementInputs(appliedConfiguration, targetTable, engineControl, settings.failureDomain)
    private val placementWorker =
        PlacementWorker(settings, keyValueService, engineControl, placementInputs, clock, monitor, recorder)
    private val peerExchange: PeerExchangeWorker = PeerExchangeWorker(
        membership,
        VirtualMachineListReader(
            settings,
            virtualMachineList,
            membership,
            responsibilities,
            appliedConfiguration,
            targetTable,
        ),
        responsibilities,
        PeerStateApplier(
            settings.vm,
            appliedConfiguration,
            admission,
            rateShareWorker,
            targetTable,
            placementInputs,
            clock,
        ),
        LocalDigestBuilder(appliedConfiguration, admission, placementInputs, lifecycle),
        targetTable,
        clock,
    )

    @Volatile
    private var authenticator = KeyAuthenticator(appliedConfiguration.current, monitor)

    private val handlerDependencies = HandlerDependencies(
        settings.failureDomain,
        settings.region,
        clock,
        monitor,
        recorder,
        lifecycle,
        appliedConfiguration,
        { authenticator },
        admission,
        targetTable,
        TargetSelector(targetTable),
        claimStore,
        RetryBudget(),
        targetClient,
        activeRequests,
        settings.limits,
        blockingExecutor.asCoroutineDispatcher(),
        placementWorker::recordDemand,
    )
    private val administrationApi =
        AdministrationApi(configurationLog, appliedConfiguration, timeLine, ::status, ::onChangeAccepted, ::beginDrain)
    private val servers = NodeServers(settings, handlerDependencies)
    private val callerServer = servers.callerServer()
    private val administrationServer = servers.administrationServer(administrationApi, registry)

    /** The port on which the server for callers listens. */
    val callerPort: Int get() = callerServer.activeLocalPort()

    /** The port on which the server for operators listens. */
    val administrationPort: Int get() = administrationServer.activeLocalPort()

    /** Starts all components, and begins to serve once a configuration is available. */
    fun start(): Node = apply {
        appliedConfiguration.addListener(::applyConfiguration)
        NodeMetrics(registry, admission, activeRequests, appliedConfiguration, monitor, clock).register()
        admission.start()
        membership.start()
        peerExchange.start()
        configurationUpdater.start()
        rateShareWorker.start()
        reportReader.start()
        placementWorker.start()
        claimMaintenance.scheduleWithFixedDelay(claimStore::renewPresenceAndRetryWrites, 1, 1, TimeUnit.SECONDS)
        administrationServer.start().join()
        callerServer.start().join()
        recorder.event("node.started") {
            field("vm", settings.vm)
            field("caller_port", callerPort)
            field("administration_port", administrationPort)
        }
        awaitConfiguration()
        lifecycle.fire("ready")
    }

    /** Stops gracefully: signals the load balancer, finishes accepted requests and releases what this node holds. */
    fun stop() {
        if (lifecycle.isStarting) lifecycle.fire("abort")
        if (!lifecycle.fire("drain")) return
        sleep(settings.limits.balancerLag.inWholeMilliseconds)
        lifecycle.fire("close")
        val drainDeadline = clock.monotonicNanos() + settings.limits.drain.inWholeNanoseconds
        while (activeRequests.size > 0 && clock.monotonicNanos() < drainDeadline) sleep(DRAIN_POLL_MILLIS)
        monitor.check(Invariant.GRACEFUL_STOP, activeRequests.size == 0) { "interrupted=${activeRequests.size}" }
        callerServer.stop().join()
        placementWorker.close()
        peerExchange.close()
        rateShareWorker.close()
        reportReader.close()
        claimMaintenance.shutdown()
        claimStore.close()
        configurationUpdater.close()
        admission.close()
        lifecycle.fire("drained")
        administrationServer.stop().join()
        listOf(targetClient, engineControl, keyValueClient, vmListClient).forEach(AutoCloseable::close)
        blockingExecutor.shutdown()
    }

    private fun applyConfiguration(configuration: OperatorConfiguration) {
        authenticator = KeyAuthenticator(configuration, monitor)
        targetTable.applyConfiguration(configuration)
        retryUntilAccepted { admission.applyConfiguration(configuration).isRight() }
        retryUntilAccepted { rateShareWorker.applyConfiguration(configuration).isRight() }
        val revoked = activeRequests.cancelRequestsWithInvalidKeys("revision ${configuration.revision}") {
            it in
                configuration.keys
        }
        if (revoked > 0) recorder.event("key.requests_cancelled") { field("count", revoked) }
    }

    private fun awaitConfiguration() {
        // During an outage of the platform, a configuration received from a peer is sufficient.
        while (appliedConfiguration.freshnessAge(clock.monotonicNanos()).isInfinite() &&
            appliedConfiguration.current.revision.value == 0L
        ) {
            sleep(CONFIGURATION_POLL_MILLIS)
        }
    }

    private fun onChangeAccepted() {
        configurationUpdater.send(ConfigurationMessage.LogChanged)
    }

    private fun beginDrain() {
        // Exits on a separate thread: the shutdown hook drains, while this thread must still respond to the operator.
        Thread({ Runtime.getRuntime().exit(0) }, "drain").start()
    }

    private fun status(): NodeStatus {
        val freshness = appliedConfiguration.freshnessAge(clock.monotonicNanos())
        return NodeStatus(
            vm = settings.vm,
            failureDomain = settings.failureDomain,
            state = lifecycle.state,
            revision = appliedConfiguration.current.revision.value,
            freshnessMillis = if (freshness.isInfinite()) -1 else freshness.inWholeMilliseconds,
            activeRequests = activeRequests.size,
            placementOwner = placementWorker.isOwner,
            queuedRequests = admission.snapshot.queueLength,
            invariantViolations = Invariant.entries.associate { it.name to monitor.violations(it) },
            peers = membership.view().peers.map(::peerStatus),
            targets = targetTable.statuses().map { target ->
                TargetStatus(
                    target.target.id,
                    target.state,
                    target.inFlight,
                    target.report?.artifacts.orEmpty().map { "${it.artifact} ${it.state.name.lowercase()}" },
                )
            },
        )
    }

    private fun peerStatus(peer: dev.bergamotwind.membership.PeerStatus): PeerStatus {
        val silence = TimeUnit.NANOSECONDS.toMillis(clock.monotonicNanos() - peer.lastContactNanos)
        return PeerStatus(peer.id, peer.revision.value, peer.connected, silence, peer.draining)
    }

    private fun identity() = NodeIdentity(settings.vm, settings.failureDomain, ownPeerEndpoint())

    private fun ownPeerEndpoint(): String =
        IpEndpoint(settings.listen.addresses.first(), settings.listen.peerPort).toString()

    private fun membershipSettings() = MembershipSettings(
        ownPeerEndpoint(),
        settings.peerSecret.toByteArray(),
        settings.peers.map { PeerAddress(it.toString(), settings.failureDomain) },
        AdaptiveTopology(),
    )

    private fun platformClient(endpoints: List<IpEndpoint>) = PlatformClient(
        PlatformSettings(endpoints.map { it.toString() }, settings.limits.keyValueCallsPerSecond),
        registry,
        clock,
    )

    private fun retryUntilAccepted(action: () -> Boolean) {
        while (!action()) sleep(1)
    }

    private fun sleep(millis: Long): Unit = Thread.sleep(millis)

    private companion object {
        const val BLOCKING_THREADS = 32
        const val CONFIGURATION_POLL_MILLIS = 20L
        const val DRAIN_POLL_MILLIS = 20L
    }
}
