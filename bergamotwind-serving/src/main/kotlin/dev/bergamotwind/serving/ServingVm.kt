package dev.bergamotwind.serving

import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.call.Call
import dev.bergamotwind.serving.call.CallHandler
import dev.bergamotwind.serving.call.ModelRequest
import dev.bergamotwind.serving.call.RefusalHeaders
import dev.bergamotwind.serving.call.ServingContext
import dev.bergamotwind.serving.call.TargetTransport
import dev.bergamotwind.serving.call.WaitingCalls
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.crash.EngineCrashDetector
import dev.bergamotwind.serving.crash.PromptPartStatus
import dev.bergamotwind.serving.crash.PromptQuarantine
import dev.bergamotwind.serving.crash.StoredPromptParts
import dev.bergamotwind.serving.peer.AdapterUse
import dev.bergamotwind.serving.peer.ModelDemand
import dev.bergamotwind.serving.peer.PeerHeartbeat
import dev.bergamotwind.serving.peer.PeerListener
import dev.bergamotwind.serving.peer.PeerMember
import dev.bergamotwind.serving.peer.PeerRegistrations
import dev.bergamotwind.serving.peer.Peers
import dev.bergamotwind.serving.placement.DemandMeter
import dev.bergamotwind.serving.placement.ElectionSettings
import dev.bergamotwind.serving.placement.ExpectedLoads
import dev.bergamotwind.serving.placement.PlacementElection
import dev.bergamotwind.serving.placement.PlacementManager
import dev.bergamotwind.serving.rate.FleetRateLimiter
import dev.bergamotwind.serving.rate.VmRetryBudget
import dev.bergamotwind.serving.store.StoreEraTracker
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.store.StoreListener
import dev.bergamotwind.serving.store.StorePut
import dev.bergamotwind.serving.store.StoreWatcher
import dev.bergamotwind.serving.store.StoreWrite
import dev.bergamotwind.serving.store.VmLease
import dev.bergamotwind.serving.targets.RoundTripEstimates
import dev.bergamotwind.serving.targets.TargetPicker
import dev.bergamotwind.serving.targets.TargetRegistry
import dev.bergamotwind.serving.targets.TargetSendLimits
import dev.bergamotwind.serving.targets.TargetStatements
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.net.InetSocketAddress
import kotlin.random.Random

/**
 * An entry VM: serves calls, watches the platform's store, sends heartbeats to the other VMs, and sends orders to
 * engines while it is the placement holder. Everything runs on one loop.
 */
public class ServingVm(
    private val settings: ServingSettings,
    private val ports: ServingPorts,
    private val random: Random = Random.Default,
) {
    private val loop = ports.loop
    private val recorder: EventRecorder = ports.recorder
    private val guard = StepGuard(recorder)
    private val incarnation = loop.wallMillis()
    private val targets = TargetRegistry(loop)
    private val eras = StoreEraTracker(recorder)
    private val lease = VmLease(ports.store, loop, settings.leaseMillis, random, recorder)
    private val election = PlacementElection(
        ports.store,
        loop,
        lease,
        ElectionSettings(
            "${settings.vm}@${settings.host}",
            settings.handOverMillis,
            settings.leaseMillis,
            settings.isFirstStart,
        ),
        { peers.countStartedAfter(incarnation) },
        random,
        recorder,
        eras,
    )
    private val distance = RoundTripEstimates(settings.failureDomain, settings.regions)
    private val peers = Peers(loop, settings.vm, ports.peers, distance::isSameRegion, HeartbeatHandler())
    private val peerRegistrations = PeerRegistrations(peers, recorder)
    private val context = CallContext()
    private val expectedLoads = ExpectedLoads(loop)
    private val placement =
        PlacementManager(
            loop,
            targets,
            ports.orders,
            settings.vm,
            { election.term },
            election::earliestOrderMillis,
            expectedLoads,
            recorder,
        )
    private val retries = HashMap<ServiceId, VmRetryBudget>()
    private val runs = LinkedHashSet<CallHandler>()
    private val usedAdapters = LinkedHashSet<AdapterUse>()
    private val shutdown = Shutdown(settings.graceMillis, loop)
    private val targetListener = TargetListener(targets, loop, ports.decoder, recorder)
    private val storeWatcher =
        StoreWatcher(ports.store, loop, ports.layout.watchedPrefix, random, recorder, StoreHandler()) {
            if (election.needsImmediateChanges) 0 else settings.watchPauseMillis
        }
    private val storedPromptParts: StoredPromptParts =
        StoredPromptParts(ports.store, loop, context.quarantine, recorder)
    private var configuration: ServedConfiguration? = null
    private var isSynced = false
    private var highestTerm = 0L
    private var ticks = 0L
    private var isHeartbeatPlanned = false
    private var isAdapterRequestPlanned = false

    /** The placement holder according to the latest heartbeats, or null. */
    private var placementHolder: VmId? = null
    private var isWakeUpPlanned = false
    private var onEnd: () -> Unit = {}

    /** True when the VM can serve and is not stopping. */
    public val isReady: Boolean get() = configuration != null && isSynced && !shutdown.isStopping

    /** The applied configuration, or null. */
    public val currentConfiguration: ServedConfiguration? get() = configuration

    /** Number of running requests. */
    public val activeRequests: Int get() = runs.size

    /** The prompt parts that may crash engines, the most suspected ones first. */
    public val promptParts: List<PromptPartStatus> get() = context.quarantine.statuses

    /** Starts watching the store and sending heartbeats. */
    public fun start() {
        recorder.event("vm.started") {
            field("vm", settings.vm)
            field("failure_domain", settings.failureDomain)
            field("first_start", settings.isFirstStart)
        }
        ports.store.onEra = eras::accept
        // The election first: whether its term was in force depends on the lease.
        eras.addListener(election::onNewEra)
        eras.addListener(lease::onNewEra)
        eras.addListener(storeWatcher::onNewEra)
        targets.onChange = ::scheduleWakeUp
        targets.onEnded = context.crashes::onEnded
        context.rateLimiter.onLargeUse = ::scheduleEarlyHeartbeat
        lease.onGranted = ::register
        election.onTermEnded = placement::abandonOrders
        ports.orders.onStatement = { record, statement, sentMillis ->
            val target = targets.target(record.id)?.takeIf { it.record.startedWallMillis == record.startedWallMillis }
            target?.let { context.statements.apply(it, statement, sentMillis, "engine call") }
        }
        lease.onRenewed = storeWatcher::recordContact
        lease.onRecovered = storeWatcher::onStoreAnswersAgain
        storeWatcher.start()
        lease.start()
        tick()
    }

    /** Serves [call] and writes the answer to [exchange]. */
    public fun serve(call: Call, exchange: CallerExchange) {
        val handler = CallHandler(call, exchange, context)
        runs += handler
        handler.start()
    }

    /** Handles a datagram of another VM. */
    public fun onPeerDatagram(sender: InetSocketAddress, bytes: ByteArray): Unit = peers.onDatagram(sender, bytes)

    /** Stops gracefully; [onEnd] is called when the process may exit. */
    public fun stop(onEnd: () -> Unit) {
        if (shutdown.isStopping) return
        recorder.event("vm.stopping") { field("active_requests", runs.size) }
        this.onEnd = onEnd
        shutdown.begin()
        scheduleWakeUp()
        election.release {}
        sendHeartbeat(isUrgent = true)
    }

    private fun tick() {
        ticks++
        guard.runIsolated("beat", ::sendHeartbeatIfDue)
        if (ticks % TICKS_PER_PLAN == 0L) guard.runIsolated("plan", ::plan)
        if (ticks % TICKS_PER_EXPIRY == 0L) {
            guard.runIsolated("sweep") {
                peers.removeExpired()
                context.crashes.removeExpired()
                context.quarantine.removeExpired()
                targets.all.forEach { it.decayLatencyRatio() }
            }
        }
        if (ticks % TICKS_PER_STATE_EVENT == 0L) guard.runIsolated("state", ::recordState)
        if (shutdown.shouldCloseIdle) guard.runIsolated("idle connections", ports.callers::closeIdle)
        val stopMillis = shutdown.remainingMillis
        if (stopMillis != null && stopMillis <= 0) {
            runs.toList().forEach { guard.runIsolated("stop", it::endForShutdown) }
        }
        if (shutdown.mayExit(isAnswering = runs.isNotEmpty() || ports.callers.hasUnsentAnswers)) return completeStop()
        loop.schedule(TICK_MILLIS, ::tick)
    }

    private fun plan() {
        val current = configuration ?: return
        placement.tick(current, if (election.term == null) emptyMap() else fleetDemand())
        if (election.term != null) storedPromptParts.writeChanges()
        // The end of a target's suspension triggers no notification.
        scheduleWakeUp()
    }

    private fun recordState(): Unit = recorder.event("vm.state") {
        field("active_requests", runs.size)
        field("waiting", context.waitingCalls.size)
        field("vms", peers.count)
        field("heard_share", peers.reachableShare)
        field("lease_age_millis", lease.ageMillis)
        field("store_era", eras.current)
        field("configuration", configuration?.version)
        field("term", election.term)
        field("refused_parts", context.quarantine.refusedParts.joinToString(",") { it.id.toString() }.ifEmpty { null })
        field(
            "micros_per_token",
            context.picker.processingTimes.millisPerTokenByModel.entries.joinToString(",") { (model, millis) ->
                "$model:${(millis * MICROS_PER_MILLI).toInt()}"
            },
        )
        field("work_per_second", ownDemand().entries.joinToString(",") { (model, of) -> "$model:${of.workPerSecond}" })
    }

    private fun completeStop() {
        recorder.event("vm.stopped") {
            field("active_requests", runs.size)
            field("unsent_answers", ports.callers.hasUnsentAnswers)
        }
        storeWatcher.stop()
        var ended = false
        val end = {
            if (!ended) {
                ended = true
                onEnd()
            }
        }
        lease.release(end)
        loop.schedule(LEASE_RELEASE_TIMEOUT_MILLIS, end)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun register(leaseId: Long) {
        val member = PeerMember(settings.vm, settings.host, settings.peerPort, settings.failureDomain, incarnation)
        val registration =
            StorePut(MEMBER_KEY_PREFIX + settings.vm, Cbor.encodeToByteArray(PeerMember.serializer(), member), leaseId)
        ports.store.write(StoreWrite(puts = listOf(registration))) { result ->
            if (result.isLeft()) {
                loop.schedule(REGISTRATION_RETRY_MILLIS) { if (lease.id == leaseId) register(leaseId) }
            }
        }
    }

    // Deferred, because changes are reported in the middle of decisions about orders, and waiting calls cause further
    // changes.
    private fun scheduleWakeUp() {
        if (isWakeUpPlanned) return
        isWakeUpPlanned = true
        loop.schedule(0) {
            isWakeUpPlanned = false
            context.waitingCalls.onTargetsChanged(guard)
        }
    }

    private fun scheduleEarlyHeartbeat() {
        if (isHeartbeatPlanned) return
        isHeartbeatPlanned = true
        loop.schedule(EARLY_HEARTBEAT_DELAY_MILLIS) {
            isHeartbeatPlanned = false
            if (peers.maySendEarly()) sendHeartbeat(isUrgent = true)
        }
    }

    private fun sendHeartbeatIfDue() {
        val isUrgent = election.endTermIfLeaseInvalid()
        if (isUrgent || peers.isHeartbeatDue()) sendHeartbeat(isUrgent)
    }

    private fun sendHeartbeat(isUrgent: Boolean) {
        peers.broadcast(createHeartbeat(), isUrgent)
        context.rateLimiter.markReported()
    }

    private fun createHeartbeat(): PeerHeartbeat {
        val loads = targets.all.filter { it.attempts.isNotEmpty() }.associate { it.record.id to it.ownLoad() }
        val used = usedAdapters.toList()
        usedAdapters.clear()
        return PeerHeartbeat(
            vm = settings.vm,
            incarnation = incarnation,
            sequence = 0,
            admittedUnits = context.rateLimiter.admittedTotals(),
            loads = loads,
            demand = ownDemand(),
            wantedAdapters = context.waitingCalls.waitingForAdapter().mapNotNull { it.adapterUse }.distinct(),
            usedAdapters = used,
            term = election.term ?: 0,
            holdings = placement.takeChangedHoldings(),
            expectedModels = placement.expectedModels(),
            remainingUnits = if (peers.hasRecentStart) context.rateLimiter.levels() else emptyMap(),
            endedTerm = election.endedTermAnnouncement(placement::orderAges),
            promptParts = context.quarantine.reports(),
            sendLimits = context.picker.sendLimits.reports(),
        )
    }

    private fun ownDemand(): Map<ModelId, ModelDemand> {
        val work = context.demand.workPerSecond(loop.nowMillis())
        val waiting = context.waitingCalls.countByModel()
        return (work.keys + waiting.keys).associateWith { ModelDemand(waiting[it] ?: 0, work[it] ?: 0) }
    }

    private fun fleetDemand(): Map<ModelId, ModelDemand> {
        val sum = HashMap(ownDemand())
        for (heartbeat in peers.reachableHeartbeats()) {
            heartbeat.demand.forEach { (model, more) -> sum.merge(model, more, ModelDemand::plus) }
        }
        return sum
    }

    private fun applyConfiguration(item: StoreItem) {
        ports.decoder.configuration(item).fold(
            { fault ->
                recorder.event("configuration.unreadable") {
                    field("fault", fault)
                    field("revision", item.revision)
                }
            },
            { update ->
                if (update.version >
                    (configuration?.version ?: Long.MIN_VALUE)
                ) {
                    applyConfiguration(update, item.revision)
                }
            },
        )
    }

    private fun applyConfiguration(newConfiguration: ServedConfiguration, revision: Long) {
        // A team added while this VM runs has used nothing yet, and neither has any team at the first start.
        context.rateLimiter.configure(
            newConfiguration.teams.orEmpty(),
            startFull = configuration != null || settings.isFirstStart,
        )
        configuration = newConfiguration
        recorder.event("configuration.applied") {
            field("version", newConfiguration.version)
            field("revision", revision)
            field("routes", newConfiguration.routes.size)
            field("teams", newConfiguration.teams?.size)
        }
        scheduleWakeUp()
    }

    /** Dispatches changes in the store by key. */
    private inner class StoreHandler : StoreListener {
        override fun onItemWritten(item: StoreItem) {
            when {
                item.key == ports.layout.configurationKey -> applyConfiguration(item)
                item.key.startsWith(ports.layout.targetsPrefix) -> targetListener.onItemWritten(item)
                item.key.startsWith(PlacementElection.KEY_PREFIX) -> election.onItemWritten(item)
                item.key.startsWith(MEMBER_KEY_PREFIX) -> peerRegistrations.onItemWritten(item)
                item.key.startsWith(StoredPromptParts.KEY_PREFIX) -> storedPromptParts.onItemWritten(item)
            }
        }

        override fun onKeyRemoved(key: String) {
            when {
                key.startsWith(ports.layout.targetsPrefix) -> targetListener.onKeyRemoved(key)
                key.startsWith(PlacementElection.KEY_PREFIX) -> election.onKeyRemoved(key)
                key.startsWith(MEMBER_KEY_PREFIX) -> peers.onDeregistered(VmId(key.removePrefix(MEMBER_KEY_PREFIX)))
                key.startsWith(StoredPromptParts.KEY_PREFIX) -> storedPromptParts.onKeyRemoved(key)
            }
        }

        override fun onKeyLost(key: String) {
            when {
                key.startsWith(ports.layout.targetsPrefix) -> targetListener.onKeyLost(key)
                key.startsWith(PlacementElection.KEY_PREFIX) -> election.onKeyRemoved(key)
                key.startsWith(MEMBER_KEY_PREFIX) -> peers.onDeregistered(VmId(key.removePrefix(MEMBER_KEY_PREFIX)))
                key.startsWith(StoredPromptParts.KEY_PREFIX) -> storedPromptParts.onKeyLost(key)
            }
        }

        override fun onSynced() {
            isSynced = true
            election.onSynced()
            scheduleWakeUp()
        }

        override fun onStoreRecovered(outageMillis: Long): Unit = targetListener.onStoreRecovered(outageMillis)
    }

    /** Applies the heartbeats of other VMs. */
    private inner class HeartbeatHandler : PeerListener {
        override fun onHeartbeat(heartbeat: PeerHeartbeat) {
            context.rateLimiter.applyPeerTotals(
                heartbeat.vm,
                heartbeat.incarnation,
                heartbeat.admittedUnits,
                heartbeat.remainingUnits,
            )
            targets.applyPeerLoads(heartbeat.vm, heartbeat.loads)
            context.picker.sendLimits.applyReports(heartbeat.vm, heartbeat.incarnation, heartbeat.sendLimits)
            heartbeat.promptParts.forEach(context.quarantine::apply)
            heartbeat.endedTerm?.let { ended ->
                if (placementHolder == heartbeat.vm) placementHolder = null
                election.onTermEndAnnounced(ended)
                if (election.needsImmediateChanges) storeWatcher.watchImmediately()
            }
            if (heartbeat.term >= highestTerm && heartbeat.term > 0) {
                highestTerm = heartbeat.term
                placementHolder = heartbeat.vm
                heartbeat.holdings.forEach { targets.applyLoadedModels(it.target, it.models) }
                if (expectedLoads.replaceAll(heartbeat.expectedModels)) scheduleWakeUp()
            }
            if (election.term != null) {
                heartbeat.usedAdapters.forEach(placement::recordAdapterUse)
                heartbeat.wantedAdapters.forEach(placement::requestAdapter)
                if (heartbeat.wantedAdapters.isNotEmpty()) scheduleEarlyHeartbeat()
            }
        }

        override fun onUnreachable(vm: VmId): Unit = targets.applyPeerLoads(vm, null)

        override fun onUndecodable(sender: InetSocketAddress, fault: String) {
            recorder.event("peer.unreadable") {
                field("sender", sender)
                field("fault", fault)
            }
        }
    }

    /** The parts of this VM that calls use. */
    private inner class CallContext : ServingContext {
        override val loop: ServingLoop get() = this@ServingVm.loop
        override val random: Random get() = this@ServingVm.random
        override val recorder: EventRecorder get() = this@ServingVm.recorder
        override val configuration: ServedConfiguration? get() = this@ServingVm.configuration
        override val isReadingConfiguration: Boolean get() = !isSynced && !storeWatcher.hasFailed
        override val picker =
            TargetPicker(
                targets,
                distance,
                ports.loop,
                this@ServingVm.random,
                TargetSendLimits(targets, ports.loop, settings.contactMillis, ports.recorder, peers::senders) {
                    scheduleEarlyHeartbeat()
                },
            )
        override val statements = TargetStatements(targets, ports.loop, ports.recorder)
        override val answerMemory get() = ports.answerMemory
        override val transport: TargetTransport get() = ports.transport
        override val rateLimiter = FleetRateLimiter(ports.loop, settings.rateToleranceTokens) { peers.reachableShare }
        override val waitingCalls = WaitingCalls()
        override val demand = DemandMeter()
        override val quarantine = PromptQuarantine(
            ports.loop,
            settings.contactMillis * CONTACT_TIMES_PER_TRIAL,
            ports.recorder,
            { report, reply -> storedPromptParts.claim(report, reply) },
            ::scheduleEarlyHeartbeat,
        )
        override val crashes = EngineCrashDetector(
            ports.loop,
            ports.recorder,
            settings.contactMillis * CONTACT_TIMES_PER_TRIAL,
            { target, reply -> ports.orders.requestReport(target.record) { reply(it != null) } },
            quarantine::onCrash,
        )
        override val isStopping: Boolean get() = shutdown.isStopping
        override val refusesNewCalls: Boolean get() = shutdown.refusesNew
        override val shutdownRemainingMillis: Long? get() = shutdown.remainingMillis
        override val refusalHeaders: RefusalHeaders get() = ports.refusalHeaders

        override fun connectionShare(limit: Int): Int =
            (limit * USABLE_CONNECTION_SHARE / peers.count).toInt().coerceAtLeast(MIN_CONNECTIONS_PER_TARGET)

        override fun recordRequest(service: ServiceId): Unit = allowance(service).recordRequest()

        override fun tryTakeRetry(service: ServiceId): Boolean =
            allowance(service).tryTakeRetry(loop.nowMillis(), peers.count)

        override fun requestAdapter(handler: CallHandler) {
            val use = handler.adapterUse ?: return
            if (election.term != null) return placement.requestAdapter(use)
            if (isAdapterRequestPlanned) return
            isAdapterRequestPlanned = true
            // Only the placement holder acts on it, so the other VMs need not be told immediately.
            loop.schedule(EARLY_HEARTBEAT_DELAY_MILLIS) {
                isAdapterRequestPlanned = false
                placementHolder?.let { peers.sendTo(it, createHeartbeat()) }
            }
        }

        override fun recordAdapterUse(handler: CallHandler) {
            val use = handler.adapterUse ?: return
            if (election.term != null) placement.recordAdapterUse(use) else usedAdapters += use
        }

        override fun expectedLoadMillis(modelRequest: ModelRequest): Long? =
            placement.millisUntilLoaded(modelRequest.model) ?: expectedLoads.millisUntilLoaded(modelRequest.model)

        override fun scheduleWakeUp(): Unit = this@ServingVm.scheduleWakeUp()

        override fun onCallEnded(handler: CallHandler) {
            runs -= handler
        }

        private fun allowance(service: ServiceId) = retries.getOrPut(service) {
            VmRetryBudget(settings.retryShare, settings.retryFixed, settings.retryWindowMillis)
        }
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000

        /** A crash and the answer to a trial are each known everywhere after one contact time. */
        const val CONTACT_TIMES_PER_TRIAL = 2

        /** Maximum milliseconds to wait for the revocation of the lease, which also expires by itself. */
        const val LEASE_RELEASE_TIMEOUT_MILLIS = 200L
    }
}
