package dev.bergamotwind.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.TransactionResult
import dev.bergamotwind.api.VirtualMachine
import dev.bergamotwind.api.VirtualMachineList
import dev.bergamotwind.api.VirtualMachineState
import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Team
import dev.bergamotwind.test.InMemoryKeyValueService
import dev.bergamotwind.test.KeyValueFaults
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.ThrowingInvariantMonitor
import kotlin.time.Duration

/** Simulated nodes that share one key-value service in virtual time; every node has a clock and faults of its own. */
class SimulatedFleet(val teams: List<Team>, var entrySlots: Int) {
    val clock = ManualClock()
    val service = InMemoryKeyValueService(clock)
    val nodes = ArrayList<Node>()
    val listedFrom = HashMap<VmId, Long>()
    val removedAt = HashMap<VmId, Long>()

    /** Writes that are applied late, long after their sender was told that the outcome is unknown. */
    val delayedWrites = ArrayList<() -> Unit>()
    private var startedNodes = 0

    fun start(): Node = Node(VmId("vm-${startedNodes++}")).also {
        nodes += it
        listedFrom[it.vm] = clock.monotonicNanos()
    }

    fun configuration() = OperatorConfiguration(entrySlots = entrySlots, teams = teams.associateBy { it.id })

    fun demand(): List<TeamDemand> = nodes.flatMap { it.demand }

    inner class Node(val vm: VmId) : VirtualMachineList {
        val faults = KeyValueFaults()
        var clockSpeed = 1.0
        var pausedUntilNanos = 0L
        var listLagNanos = 0L
        var delayWrite: () -> Boolean = { false }
        var duringCall: () -> Unit = {}
        var demand = emptyList<TeamDemand>()
        val ownClock = object : Clock {
            override fun monotonicNanos() = (clock.monotonicNanos() * clockSpeed).toLong()

            override fun wallMillis() = clock.wallMillis()
        }
        lateinit var rateLimiter: TeamRateLimiter
        lateinit var coordinator: RateShareCoordinator

        init {
            restart()
        }

        fun restart() {
            rateLimiter = TeamRateLimiter(configuration(), ownClock, ThrowingInvariantMonitor)
            val client = DelayingKeyValueService(service.client(faults), this)
            coordinator = RateShareCoordinator(client, this, vm, ownClock, rateLimiter)
            coordinator.applyConfiguration(configuration())
        }

        fun applyConfiguration() {
            rateLimiter.applyConfiguration(configuration())
            coordinator.applyConfiguration(configuration())
        }

        fun tick(observed: List<TeamDemand>? = null) {
            demand = rateLimiter.snapshots().map {
                TeamDemand(it.team, vm, it.demandTokensPerSecond, it.largestRequest, it.unitsHeld)
            }
            observed?.let { coordinator.updateDemand(it.filter { entry -> entry.vm != vm } + demand) }
            coordinator.tick()
        }

        fun isPaused() = clock.monotonicNanos() < pausedUntilNanos

        override fun read(): Either<Failure, List<VirtualMachine>> {
            val visibleAt = clock.monotonicNanos() - listLagNanos
            val listed = listedFrom.filterValues { it <= visibleAt }.keys
                .filter { (removedAt[it] ?: Long.MAX_VALUE) > visibleAt }
            return listed.map {
                VirtualMachine(it, FailureDomainId("d"), "127.0.0.1", VirtualMachineState.LIVE)
            }.right()
        }
    }

    /** A client whose calls take time, during which other nodes continue, and whose writes can be applied late. */
    private inner class DelayingKeyValueService(private val delegate: KeyValueService, private val node: Node) :
        KeyValueService by delegate {
        override fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
            if (node.delayWrite()) {
                delayedWrites += { delegate.transact(transaction) }
                return Failure.OutcomeUnknown("the call timed out").left()
            }
            node.duringCall()
            return delegate.transact(transaction).also { node.duringCall() }
        }

        override fun grantLease(timeToLive: Duration) = interleaved { delegate.grantLease(timeToLive) }

        override fun keepAlive(lease: LeaseId) = interleaved { delegate.keepAlive(lease) }

        private fun <T> interleaved(call: () -> T): T {
            node.duringCall()
            return call().also { node.duringCall() }
        }
    }
}
