package dev.bergamotwind.serving

import dev.bergamotwind.api.CallerExchange
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.call.Call
import dev.bergamotwind.serving.call.CallRun
import dev.bergamotwind.serving.call.ModelWork
import dev.bergamotwind.serving.call.RefusalHeaders
import dev.bergamotwind.serving.call.ServingContext
import dev.bergamotwind.serving.call.TargetTransport
import dev.bergamotwind.serving.call.WaitingRoom
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.peer.AdapterUse
import dev.bergamotwind.serving.peer.ModelDemand
import dev.bergamotwind.serving.peer.PeerHeartbeat
import dev.bergamotwind.serving.peer.PeerListener
import dev.bergamotwind.serving.peer.PeerMember
import dev.bergamotwind.serving.peer.Peers
import dev.bergamotwind.serving.placement.DemandMeter
import dev.bergamotwind.serving.placement.ElectionSettings
import dev.bergamotwind.serving.placement.ExpectedLoads
import dev.bergamotwind.serving.placement.PlacementElection
import dev.bergamotwind.serving.placement.PlacementManager
import dev.bergamotwind.serving.rate.FleetRates
import dev.bergamotwind.serving.rate.RetryAllowance
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.store.StoreListener
import dev.bergamotwind.serving.store.StorePut
import dev.bergamotwind.serving.store.StoreWatcher
import dev.bergamotwind.serving.store.StoreWrite
import dev.bergamotwind.serving.store.VmLease
import dev.bergamotwind.serving.targets.Distance
import dev.bergamotwind.serving.targets.TargetBook
import dev.bergamotwind.serving.targets.TargetPicker
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
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
    private val targets = TargetBook(loop)
    private val lease = VmLease(ports.store, loop, settings.leaseMillis, random, recorder)
    private val term = PlacementElection(
        ports.store,
        loop,
        lease,
        ElectionSettings("${settings.vm}@${settings.host}", settings.handOverMillis, settings.isFirstStart),
        { peers.laterStarts(incarnation) },
        random,
        recorder,
    )
    private val distance = Distance(settings.failureDomain, settings.regions)
    private val peers = Peers(loop, settings.vm, ports.peers, distance::isSameRegion, Hearing())
    private val context = Context()
    private val expectedLoads = ExpectedLoads(loop)
    private val placement =
        PlacementManager(
            loop,
            targets,
            ports.orders,
            settings.vm,
            { term.term },
            term::readyMillis,
            expectedLoads,
            recorder,
        )
    private val retries = HashMap<ServiceId, RetryAllowance>()
    private val runs = LinkedHashSet<CallRun>()
    private val usedAdapters = LinkedHashSet<AdapterUse>()
    private val shutdown = Shutdown(settings.graceMillis, loop)
    private val targetListener = TargetListener(targets, loop, ports.decoder, recorder)
    private val follower =
        StoreWatcher(ports.store, loop, ports.layout.followedPrefix, random, recorder, Following()) {
            if (term.needsChangesAtOnce) 0 else settings.watchPauseMillis
        }
    private var configuration: ServedConfiguration? = null
    private var isCaughtUp = false
    private var highestTerm = 0L
    private var ticks = 0L
    private var beatPlanned = false
    private var wantPlanned = false

    /** The placement holder according to the latest heartbeats, or null. */
    private var holder: VmId? = null
    private var wakePlanned = false
    private var onEnd: () -> Unit = {}

    /** True when the VM can serve and is not stopping. */
    public val isReady: Boolean get() = configuration != null && isCaughtUp && !shutdown.isStopping

    /** The applied configuration, or null. */
    public val currentConfiguration: ServedConfiguration? get() = configuration

    /** Number of running requests. */
    public val activeRequests: Int get() = runs.size

    /** Starts watching the store and sending heartbeats. */
    public fun start() {
        recorder.event("vm.started") {
            field("vm", settings.vm)
            field("failure_domain", settings.failureDomain)
            field("first_start", settings.isFirstStart)
        }
        targets.onChange = ::wakeSoon
        context.rates.onLargeSpending = ::beatSoon
        lease.onGranted = ::register
        lease.onRenewed = follower::storeAnswered
        follower.start()
        lease.start()
        tick()
    }

    /** Serves [call] and writes the answer to [exchange]. */
    public fun serve(call: Call, exchange: CallerExchange) {
        val run = CallRun(call, exchange, context)
        runs += run
        run.begin()
    }

    /** Handles a datagram of another VM. */
    public fun received(sender: InetSocketAddress, bytes: ByteArray): Unit = peers.received(sender, bytes)

    /** Stops gracefully; [onEnd] is called when the process may exit. */
    public fun stop(onEnd: () -> Unit) {
        if (shutdown.isStopping) return
        recorder.event("vm.stopping") { field("active_requests", runs.size) }
        this.onEnd = onEnd
        shutdown.begin()
        wakeSoon()
        term.release {}
        beat(isUrgent = true)
    }

    private fun tick() {
        ticks++
        guard.run("beat", ::beatIfDue)
        if (ticks % TICKS_PER_PLAN == 0L) guard.run("plan", ::plan)
        if (ticks % TICKS_PER_SWEEP == 0L) {
            guard.run("sweep") {
                peers.sweep()
                targets.all.forEach { it.forgetSlowness() }
            }
        }
        if (ticks % TICKS_PER_STATE == 0L) guard.run("state", ::recordState)
        if (shutdown.closesIdle) guard.run("idle connections", ports.callers::closeIdle)
        val stopMillis = shutdown.remainingMillis
        if (stopMillis != null && stopMillis <= 0) runs.toList().forEach { guard.run("stop", it::stop) }
        if (shutdown.isStopping && shutdown.mayEnd(runs.size)) return endStopped()
        loop.schedule(TICK_MILLIS, ::tick)
    }

    private fun plan() {
        val current = configuration ?: return
        placement.tick(current, if (term.term == null) emptyMap() else demandOfAll())
        // The end of a target's suspension triggers no notification.
        wakeSoon()
    }

    private fun recordState(): Unit = recorder.event("vm.state") {
        field("active_requests", runs.size)
        field("waiting", context.waitingRoom.size)
        field("vms", peers.count)
        field("heard_share", peers.heardShare)
        field("lease_age_millis", lease.ageMillis)
        field("configuration", configuration?.version)
        field("term", term.term)
        field(
            "micros_per_token",
            context.picker.speed.byModel.entries.joinToString(",") { (model, millis) ->
                "$model:${(millis * MICROS_PER_MILLI).toInt()}"
            },
        )
        field("work_per_second", ownDemand().entries.joinToString(",") { (model, of) -> "$model:${of.workPerSecond}" })
    }

    private fun endStopped() {
        recorder.event("vm.stopped") { field("active_requests", runs.size) }
        follower.stop()
        var ended = false
        val end = {
            if (!ended) {
                ended = true
                onEnd()
            }
        }
        lease.release(end)
        loop.schedule(RELEASE_LIMIT_MILLIS, end)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun register(leaseId: Long) {
        val member = PeerMember(settings.vm, settings.host, settings.peerPort, settings.failureDomain, incarnation)
        val put =
            StorePut(MEMBER_PREFIX + settings.vm, Cbor.encodeToByteArray(PeerMember.serializer(), member), leaseId)
        ports.store.write(StoreWrite(puts = listOf(put))) { result ->
            if (result.isLeft()) {
                loop.schedule(REGISTRATION_RETRY_MILLIS) { if (lease.id == leaseId) register(leaseId) }
            }
        }
    }

    // Deferred, because changes are reported in the middle of decisions about orders, and waiting calls cause further
    // changes.
    private fun wakeSoon() {
        if (wakePlanned) return
        wakePlanned = true
        loop.schedule(0) {
            wakePlanned = false
            context.waitingRoom.targetsChanged()
        }
    }

    private fun beatSoon() {
        if (beatPlanned) return
        beatPlanned = true
        loop.schedule(EARLY_BEAT_MILLIS) {
            beatPlanned = false
            if (peers.mayBeatEarly()) beat(isUrgent = true)
        }
    }

    private fun beatIfDue() {
        val isUrgent = term.endIfDoubtful()
        if (isUrgent || peers.isBeatDue()) beat(isUrgent)
    }

    private fun beat(isUrgent: Boolean) {
        peers.send(currentBeat(), isUrgent)
        context.rates.told()
    }

    private fun currentBeat(): PeerHeartbeat {
        val loads = targets.all.filter { it.attempts.isNotEmpty() }.associate { it.record.id to it.ownLoad() }
        val used = usedAdapters.toList()
        usedAdapters.clear()
        return PeerHeartbeat(
            vm = settings.vm,
            incarnation = incarnation,
            number = 0,
            spent = context.rates.totals(),
            loads = loads,
            demand = ownDemand(),
            wanted = context.waitingRoom.waitingForAdapter().mapNotNull { it.adapterUse }.distinct(),
            used = used,
            term = term.term ?: 0,
            holdings = placement.takeChanges(),
            expected = placement.expected(),
            levels = if (peers.hasRecentStart) context.rates.levels() else emptyMap(),
            ended = term.ended(placement::orderAges),
        )
    }

    private fun ownDemand(): Map<ModelId, ModelDemand> {
        val work = context.demand.workPerSecond(loop.nowMillis())
        val waiting = context.waitingRoom.waitingByModel()
        return (work.keys + waiting.keys).associateWith { ModelDemand(waiting[it] ?: 0, work[it] ?: 0) }
    }

    private fun demandOfAll(): Map<ModelId, ModelDemand> {
        val sum = HashMap(ownDemand())
        for (beat in peers.heardBeats()) {
            beat.demand.forEach { (model, more) -> sum.merge(model, more, ModelDemand::plus) }
        }
        return sum
    }

    private fun apply(item: StoreItem) {
        ports.decoder.configuration(item).fold(
            { fault ->
                recorder.event("configuration.unreadable") {
                    field("fault", fault)
                    field("revision", item.revision)
                }
            },
            { newer ->
                if (newer.version > (configuration?.version ?: Long.MIN_VALUE)) apply(newer, item.revision)
            },
        )
    }

    private fun apply(newer: ServedConfiguration, revision: Long) {
        // A team added while this VM runs has used nothing yet, and neither has any team at the first start.
        context.rates.configure(newer.teams.orEmpty(), areUnused = configuration != null || settings.isFirstStart)
        configuration = newer
        recorder.event("configuration.applied") {
            field("version", newer.version)
            field("revision", revision)
            field("routes", newer.routes.size)
            field("teams", newer.teams?.size)
        }
        wakeSoon()
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun joined(item: StoreItem) {
        try {
            peers.joined(Cbor.decodeFromByteArray(PeerMember.serializer(), item.value))
        } catch (failure: SerializationException) {
            recorder.event("peer.unreadable") {
                field("key", item.key)
                field("fault", failure.message)
            }
        }
    }

    /** Dispatches changes in the store by key. */
    private inner class Following : StoreListener {
        override fun written(item: StoreItem) {
            when {
                item.key == ports.layout.configurationKey -> apply(item)
                item.key.startsWith(ports.layout.targetsPrefix) -> targetListener.written(item)
                item.key.startsWith(PlacementElection.KEY_PREFIX) -> term.written(item)
                item.key.startsWith(MEMBER_PREFIX) -> joined(item)
            }
        }

        override fun removed(key: String) {
            when {
                key.startsWith(ports.layout.targetsPrefix) -> targetListener.removed(key)
                key.startsWith(PlacementElection.KEY_PREFIX) -> term.removed(key)
                key.startsWith(MEMBER_PREFIX) -> peers.left(VmId(key.removePrefix(MEMBER_PREFIX)))
            }
        }

        override fun caughtUp() {
            isCaughtUp = true
            term.caughtUp()
        }

        override fun regained(silentMillis: Long): Unit = targetListener.regained(silentMillis)
    }

    /** Applies the heartbeats of other VMs. */
    private inner class Hearing : PeerListener {
        override fun heard(beat: PeerHeartbeat) {
            context.rates.peerSpent(beat.vm, beat.incarnation, beat.spent, beat.levels)
            targets.peerReported(beat.vm, beat.loads)
            beat.ended?.let { ended ->
                if (holder == beat.vm) holder = null
                term.heardEnd(ended)
                if (term.needsChangesAtOnce) follower.endPause()
            }
            if (beat.term >= highestTerm && beat.term > 0) {
                highestTerm = beat.term
                holder = beat.vm
                beat.holdings.forEach { targets.told(it.target, it.models) }
                if (expectedLoads.told(beat.expected)) wakeSoon()
            }
            if (term.term != null) {
                beat.used.forEach(placement::used)
                beat.wanted.forEach(placement::wanted)
                if (beat.wanted.isNotEmpty()) beatSoon()
            }
        }

        override fun silent(vm: VmId): Unit = targets.peerReported(vm, null)

        override fun unreadable(sender: InetSocketAddress, failure: Exception) {
            recorder.event("peer.unreadable") {
                field("sender", sender)
                field("fault", failure.message)
            }
        }
    }

    /** The parts of this VM that calls use. */
    private inner class Context : ServingContext {
        override val loop: ServingLoop get() = this@ServingVm.loop
        override val random: Random get() = this@ServingVm.random
        override val recorder: EventRecorder get() = this@ServingVm.recorder
        override val configuration: ServedConfiguration? get() = this@ServingVm.configuration
        override val picker =
            TargetPicker(targets, distance, ports.loop, this@ServingVm.random)
        override val transport: TargetTransport get() = ports.transport
        override val rates = FleetRates(ports.loop, settings.rateToleranceTokens) { peers.heardShare }
        override val waitingRoom = WaitingRoom()
        override val demand = DemandMeter()
        override val isStopping: Boolean get() = shutdown.isStopping
        override val refusesNew: Boolean get() = shutdown.refusesNew
        override val stopMillis: Long? get() = shutdown.remainingMillis
        override val refusalHeaders: RefusalHeaders get() = ports.refusalHeaders

        override fun connectionShare(limit: Int): Int =
            (limit * CONNECTION_SHARE_USED / peers.count).toInt().coerceAtLeast(LEAST_CONNECTIONS)

        override fun requested(service: ServiceId): Unit = allowance(service).requested()

        override fun tryRetry(service: ServiceId): Boolean = allowance(service).tryRetry(loop.nowMillis(), peers.count)

        override fun wantAdapter(run: CallRun) {
            val use = run.adapterUse ?: return
            if (term.term != null) return placement.wanted(use)
            if (wantPlanned) return
            wantPlanned = true
            // Only the placement holder acts on it, so the other VMs need not be told immediately.
            loop.schedule(EARLY_BEAT_MILLIS) {
                wantPlanned = false
                holder?.let { peers.sendTo(it, currentBeat()) }
            }
        }

        override fun usedAdapter(run: CallRun) {
            val use = run.adapterUse ?: return
            if (term.term != null) placement.used(use) else usedAdapters += use
        }

        override fun expectedMillis(work: ModelWork): Long? =
            placement.millisUntil(work.model) ?: expectedLoads.millisUntil(work.model)

        override fun ended(run: CallRun) {
            runs -= run
        }

        private fun allowance(service: ServiceId) = retries.getOrPut(service) {
            RetryAllowance(settings.retryShare, settings.retryFixed, settings.retryWindowMillis)
        }
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000

        /** Maximum milliseconds to wait for the revocation of the lease, which also expires by itself. */
        const val RELEASE_LIMIT_MILLIS = 200L
    }
}
