package dev.bergamotwind.node

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VirtualMachine
import dev.bergamotwind.api.VirtualMachineState
import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.membership.PeerView
import dev.bergamotwind.membership.RendezvousHashing

/** Divides work among nodes without agreement: all compute the same owners from what they know of each other. */
internal class FleetView(
    private val vm: VmId,
    private val failureDomain: FailureDomainId,
    private val applied: AppliedConfiguration,
    private val peers: () -> PeerView,
) {
    /** The platform's VM list as last read; null before the first successful read. */
    @Volatile
    var machines: List<VirtualMachine>? = null

    /** Whether this node watches the change log: some nodes of each failure domain do. */
    fun isConfigurationWatcher(): Boolean {
        val listed = machines?.filter { it.failureDomain == failureDomain && it.state == VirtualMachineState.LIVE }
        // A VM that the lagging list does not name yet watches, rather than depend on others.
        val candidates = listed?.map { it.id.value }?.takeIf { vm.value in it } ?: return true
        return vm.value in RendezvousHashing.owners("configuration", candidates, WATCHERS_PER_FAILURE_DOMAIN)
    }

    /** Whether this node writes the snapshots of the configuration. */
    fun isSnapshotWriter(): Boolean {
        val live = machines?.filter { it.state == VirtualMachineState.LIVE }?.map { it.id.value } ?: return false
        return vm.value in RendezvousHashing.owners("snapshot", live, 1)
    }

    /** The targets whose reports this node reads: each is read by two nodes of its failure domain. */
    fun ownTargets(): List<TargetId> {
        val nodes = peers().peers.filter { it.connected && !it.draining }
        val byDomain = nodes.groupBy({ it.failureDomain }, { it.id.value })
        val own = byDomain[failureDomain].orEmpty() + vm.value
        return applied.current.targets.values.filter { target ->
            val candidates = if (target.failureDomain == failureDomain) own else byDomain[target.failureDomain]
            // No node of that failure domain is known, so each node that can reach the target reads it.
            candidates == null || vm.value in RendezvousHashing.owners(target.id.value, candidates, REPORT_READERS)
        }.map { it.id }
    }
}
