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

/** One node: builds its parts from [settings], starts them in order and stops them gracefully. */
internal class Node(private val settings: NodeSettings) {
    private val clock = SystemClock
    private val hybridClock = HybridLogicalClock(clock)
    private val timeLine = TimeLine(settings.vm.value, hybridClock)
    private val recorder = LoggingRecorder(timeLine)
    private val monitor = ReportingInvariantMonitor(recorder)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val life = ProcessLife(monitor, recorder)

    private val keyValueClient = platformClient(settings.keyValueService)
    private val machineClient = platformClient(settings.virtualMachineList)
    private val keyValue = EtcdKeyValueService(keyValueClient)
    private val machines = HttpVirtualMachineList(machineClient)

    private val log = ConfigurationLog(keyValue, clock)
    private val applied = AppliedConfiguration(monitor)
    private val fleet = FleetView(settings.vm, settings.failureDomain, applied) { membership.view() }
    private val follower =
        ConfigurationFollower(keyValue, log, applied, fleet, clock, recorder)
    private val membership: Membership = Membership(
        membershipSettings(),
        identity(),
        PeerConfigurationExchange(applied) { follower.send(it) },
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
    private val rateShares =
        RateShareWorker(RateShareCoordinator(keyValue, machines, settings.vm, clock, admission.rateShareBuckets))
    private val table = TargetTable(monitor, clock)
    private val control = HttpEngineControl { id -> applied.current.targets[id]?.address }
    private val reports = ReportReader(control, fleet::ownTargets) { peers.reported(it) }
    private val claims = ClaimStore(keyValue, settings.vm, clock, monitor)
    private val blocking = Executors.newFixedThreadPool(BLOCKING_THREADS) { work ->
        Thread(work, "blocking").apply { isDaemon = true }
    }
    private val maintenance = Executors.newSingleThreadScheduledExecutor { work ->
        Thread(work, "claim-maintenance").apply { isDaemon = true }
    }
    private val client = TargetClient()
    private val exchanges = ActiveExchanges()

    private val placementView = PlacementView(applied, table, control, settings.failureDomain)
    private val placement = PlacementDuty(settings, keyValue, control, placementView, clock, monitor, recorder)
    private val peers: PeerDuty = PeerDuty(
        membership,
        MachineListReader(settings, machines, membership, fleet, applied, table),
        fleet,
        PeerIntake(settings.vm, applied, admission, rateShares, table, placementView, clock),
        DigestSource(applied, admission, placementView, life),
        table,
        clock,
    )

    @Volatile
    private var authenticator = KeyAuthenticator(applied.current, monitor)

    private val parts = ServingParts(
        settings.failureDomain,
        settings.region,
        clock,
        monitor,
        recorder,
        life,
        applied,
        { authenticator },
        admission,
        table,
        TargetSelector(table),
        claims,
        RetryBudget(),
        client,
        exchanges,
        settings.limits,
        blocking.asCoroutineDispatcher(),
        placement::observe,
    )
    private val api = AdministrationApi(log, applied, timeLine, ::status, ::onAccepted, ::beginDrain)
    private val servers = NodeServers(settings, parts)
    private val callerServer = servers.callers()
    private val administrationServer = servers.administration(api, registry)

    /** Port for callers in use. */
    val callerPort: Int get() = callerServer.activeLocalPort()

    /** Port for operators in use. */
    val administrationPort: Int get() = administrationServer.activeLocalPort()

    /** Starts all parts and begins to serve once a configuration has been read. */
    fun start(): Node = apply {
        applied.addListener(::apply)
        NodeMetrics(registry, admission, exchanges, applied, monitor, clock).register()
        admission.start()
        membership.start()
        peers.start()
        follower.start()
        rateShares.start()
        reports.start()
        placement.start()
        maintenance.scheduleWithFixedDelay(claims::renewPresenceAndRetryWrites, 1, 1, TimeUnit.SECONDS)
        administrationServer.start().join()
        callerServer.start().join()
        recorder.event("node.started") {
            field("vm", settings.vm)
            field("caller_port", callerPort)
            field("administration_port", administrationPort)
        }
        awaitConfiguration()
        life.fire("ready")
    }

    /** Stops gracefully: tells the load balancer, finishes what was accepted, gives back what is held. */
    fun stop() {
        if (life.isStarting) life.fire("abort")
        if (!life.fire("drain")) return
        sleep(settings.limits.balancerLag.inWholeMilliseconds)
        life.fire("close")
        val limit = clock.monotonicNanos() + settings.limits.drain.inWholeNanoseconds
        while (exchanges.size > 0 && clock.monotonicNanos() < limit) sleep(DRAIN_POLL_MILLIS)
        monitor.check(Invariant.GRACEFUL_STOP, exchanges.size == 0) { "interrupted=${exchanges.size}" }
        callerServer.stop().join()
        placement.close()
        peers.close()
        rateShares.close()
        reports.close()
        maintenance.shutdown()
        claims.close()
        follower.close()
        admission.close()
        life.fire("drained")
        administrationServer.stop().join()
        listOf(client, control, keyValueClient, machineClient).forEach(AutoCloseable::close)
        blocking.shutdown()
    }

    private fun apply(configuration: OperatorConfiguration) {
        authenticator = KeyAuthenticator(configuration, monitor)
        table.applyConfiguration(configuration)
        repeatUntilTaken { admission.applyConfiguration(configuration).isRight() }
        repeatUntilTaken { rateShares.applyConfiguration(configuration).isRight() }
        val revoked = exchanges.cancelKeys("revision ${configuration.revision}") { it in configuration.keys }
        if (revoked > 0) recorder.event("key.requests_cancelled") { field("count", revoked) }
    }

    private fun awaitConfiguration() {
        // In an outage of the platform the configuration of a peer will do.
        while (applied.freshnessAge(clock.monotonicNanos()).isInfinite() && applied.current.revision.value == 0L) {
            sleep(START_POLL_MILLIS)
        }
    }

    private fun onAccepted() {
        follower.send(ConfigurationMessage.LogChanged)
    }

    private fun beginDrain() {
        // Exiting runs the shutdown hook, which drains; this thread must first answer the operator.
        Thread({ Runtime.getRuntime().exit(0) }, "drain").start()
    }

    private fun status(): NodeStatus {
        val freshness = applied.freshnessAge(clock.monotonicNanos())
        return NodeStatus(
            vm = settings.vm,
            failureDomain = settings.failureDomain,
            state = life.state,
            revision = applied.current.revision.value,
            freshnessMillis = if (freshness.isInfinite()) -1 else freshness.inWholeMilliseconds,
            activeRequests = exchanges.size,
            placementOwner = placement.isOwner,
            queuedRequests = admission.snapshot.queueLength,
            invariantViolations = Invariant.entries.associate { it.name to monitor.violations(it) },
            peers = membership.view().peers.map(::peerStatus),
            targets = table.statuses().map { target ->
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

    private fun repeatUntilTaken(action: () -> Boolean) {
        while (!action()) sleep(1)
    }

    private fun sleep(millis: Long): Unit = Thread.sleep(millis)

    private companion object {
        const val BLOCKING_THREADS = 32
        const val START_POLL_MILLIS = 20L
        const val DRAIN_POLL_MILLIS = 20L
    }
}
