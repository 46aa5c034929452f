package dev.bergamotwind.node

import dev.bergamotwind.api.VirtualMachine
import dev.bergamotwind.api.VirtualMachineList
import dev.bergamotwind.api.VirtualMachineState
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.configuration.NodeSettings
import dev.bergamotwind.membership.Membership
import dev.bergamotwind.membership.PeerAddress
import dev.bergamotwind.routing.LeavingSignal
import dev.bergamotwind.routing.TargetTable

/** Reads the VM list and tells membership of peers and the target table of leaving targets. */
internal class MachineListReader(
    private val settings: NodeSettings,
    private val machines: VirtualMachineList,
    private val membership: Membership,
    private val fleet: FleetView,
    private val applied: AppliedConfiguration,
    private val table: TargetTable,
) {
    /** Reads the list once; while it cannot be read, everything stays as it was. */
    fun read() {
        machines.read().onRight { listed ->
            fleet.machines = listed
            membership.updatePeers(peers(listed))
            signalLeaving(listed)
        }
    }

    private fun peers(listed: List<VirtualMachine>): List<PeerAddress> {
        val others = listed.filter { it.id != settings.vm && it.address !in settings.listen.addresses }
            .map { PeerAddress("${it.address}:${settings.listen.peerPort}", it.failureDomain) }
        val named = settings.peers.map { PeerAddress(it.toString(), settings.failureDomain) }
        return (others + named).distinctBy { it.address }
    }

    private fun signalLeaving(listed: List<VirtualMachine>) {
        val leaving = listed.filter { it.state == VirtualMachineState.LEAVING }.map { it.address }.toSet()
        for (target in applied.current.targets.values) {
            table.setLeavingSignal(target.id, LeavingSignal.VM_LIST, target.address.substringBeforeLast(':') in leaving)
        }
    }
}
