package dev.bergamotwind.node

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VirtualMachine
import dev.bergamotwind.api.VirtualMachineState
import dev.bergamotwind.api.VmId
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.membership.PeerView
import dev.bergamotwind.membership.RendezvousHashing

/** Assigns shared tasks to nodes by rendezvous hashing over the known peers, without coordination between them. */
internal class NodeResponsibilities(
    private val vm: VmId,
    private val failureDomain: FailureDomainId,
    private val appliedConfiguration: AppliedConfiguration,
    private val peers: () -> PeerView,
) {
    /** The platform's VM list as last read; null before the first successful read. */
    @Volatile
    var virtualMachines: List<VirtualMachine>? = null

    /** Whether this node is one of the nodes of its failure domain that watch the change log. */
    fun isConfigurationWatcher(): Boolean {
        val listed = virtualMachines?.filter {
            it.failureDomain == failureDomain && it.state == VirtualMachineState.LIVE
        }
        // The VM list lags. A VM that it does not contain yet watches too, so as not to depend on others.
        val candidates = listed?.map { it.id.value }?.takeIf { vm.value in it } ?: return true
        return vm.value in RendezvousHashing.owners("configuration", candidates, WATCHERS_PER_FAILURE_DOMAIN)
    }

    /** Whether this node is the one that writes configuration snapshots. */
    fun isSnapshotWriter(): Boolean {
        val live = virtualMachines?.filter { it.state == VirtualMachineState.LIVE }?.map { it.id.value } ?: return false
        return vm.value in RendezvousHashing.owners("snapshot", live, 1)
    }

    /** The targets whose reports this node reads; [REPORT_READERS_PER_TARGET] nodes of a failure domain read each. */
    fun assignedTargets(): List<TargetId> {
        val nodes = peers().peers.filter { it.connected && !it.draining }
        val byDomain = nodes.groupBy({ it.failureDomain }, { it.id.value })
        val candidatesHere = byDomain[failureDomain].orEmpty() + vm.value
        return appliedConfiguration.current.targets.values.filter { target ->
            val candidates = if (target.failureDomain ==
                failureDomain
            ) {
                candidatesHere
            } else {
                byDomain[target.failureDomain]
            }
            // If no node of that failure domain is known, every node reads the target.
            candidates == null ||
                vm.value in RendezvousHashing.owners(target.id.value, candidates, REPORT_READERS_PER_TARGET)
        }.map { it.id }
    }
}
