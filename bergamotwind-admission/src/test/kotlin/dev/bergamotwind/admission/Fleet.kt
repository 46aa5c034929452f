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

/** Nodes over one key-value service on virtual time; every node has a clock and faults of its own. */
class Fleet(val teams: List<Team>, var entrySlots: Int) {
    val clock = ManualClock()
    val service = InMemoryKeyValueService(clock)
    val nodes = ArrayList<Node>()
    val listedSince = HashMap<VmId, Long>()
    val gone = HashMap<VmId, Long>()

    /** Writes that take effect only now, long after their sender was told that the outcome is unknown. */
    val late = ArrayList<() -> Unit>()
    private var started = 0

    fun start(): Node = Node(VmId("vm-${started++}")).also {
        nodes += it
        listedSince[it.vm] = clock.monotonicNanos()
    }

    fun configuration() = OperatorConfiguration(entrySlots = entrySlots, teams = teams.associateBy { it.id })

    fun demand(): List<TeamDemand> = nodes.flatMap { it.demand }

    inner class Node(val vm: VmId) : VirtualMachineList {
        val faults = KeyValueFaults()
        var clockSpeed = 1.0
        var frozenUntil = 0L
        var listLagNanos = 0L
        var delayWrite: () -> Boolean = { false }
        var duringCall: () -> Unit = {}
        var demand = emptyList<TeamDemand>()
        val ownClock = object : Clock {
            override fun monotonicNanos() = (clock.monotonicNanos() * clockSpeed).toLong()

            override fun wallMillis() = clock.wallMillis()
        }
        lateinit var shares: RateShares
        lateinit var ledger: RateShareLedger

        init {
            restart()
        }

        fun restart() {
            shares = RateShares(configuration(), ownClock, ThrowingInvariantMonitor)
            ledger = RateShareLedger(Link(service.client(faults), this), this, vm, ownClock, shares)
            ledger.applyConfiguration(configuration())
        }

        fun applyConfiguration() {
            shares.applyConfiguration(configuration())
            ledger.applyConfiguration(configuration())
        }

        fun tick(observed: List<TeamDemand>? = null) {
            demand = shares.snapshots().map {
                TeamDemand(it.team, vm, it.demandTokensPerSecond, it.largestRequest, it.units)
            }
            observed?.let { ledger.noteDemand(it.filter { entry -> entry.vm != vm } + demand) }
            ledger.tick()
        }

        fun frozen() = clock.monotonicNanos() < frozenUntil

        override fun read(): Either<Failure, List<VirtualMachine>> {
            val seen = clock.monotonicNanos() - listLagNanos
            val listed = listedSince.filterValues { it <= seen }.keys.filter { (gone[it] ?: Long.MAX_VALUE) > seen }
            return listed.map {
                VirtualMachine(it, FailureDomainId("d"), "127.0.0.1", VirtualMachineState.LIVE)
            }.right()
        }
    }

    /** A connection on which calls take time, in which other nodes go on, and writes can arrive late. */
    private inner class Link(private val next: KeyValueService, private val node: Node) : KeyValueService by next {
        override fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
            if (node.delayWrite()) {
                late += { next.transact(transaction) }
                return Failure.OutcomeUnknown("the call timed out").left()
            }
            node.duringCall()
            return next.transact(transaction).also { node.duringCall() }
        }

        override fun grantLease(timeToLive: Duration) = paused { next.grantLease(timeToLive) }

        override fun keepAlive(lease: LeaseId) = paused { next.keepAlive(lease) }

        private fun <T> paused(call: () -> T): T {
            node.duringCall()
            return call().also { node.duringCall() }
        }
    }
}
