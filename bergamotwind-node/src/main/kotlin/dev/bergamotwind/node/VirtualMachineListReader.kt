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

/** Reads the VM list, and updates the peers of membership and the leaving signals of the target table. */
internal class VirtualMachineListReader(
    private val settings: NodeSettings,
    private val virtualMachineList: VirtualMachineList,
    private val membership: Membership,
    private val responsibilities: NodeResponsibilities,
    private val appliedConfiguration: AppliedConfiguration,
    private val targetTable: TargetTable,
) {
    /** Reads the list once. If that fails, nothing is updated. */
    fun readOnce() {
        virtualMachineList.read().onRight { listed ->
            responsibilities.virtualMachines = listed
            membership.updatePeers(peerAddresses(listed))
            updateLeavingSignals(listed)
        }
    }

    private fun peerAddresses(listed: List<VirtualMachine>): List<PeerAddress> {
        val others = listed.filter { it.id != settings.vm && it.address !in settings.listen.addresses }
            .map { PeerAddress("${it.address}:${settings.listen.peerPort}", it.failureDomain) }
        val configured = settings.peers.map { PeerAddress(it.toString(), settings.failureDomain) }
        return (others + configured).distinctBy { it.address }
    }

    private fun updateLeavingSignals(listed: List<VirtualMachine>) {
        val leaving = listed.filter { it.state == VirtualMachineState.LEAVING }.map { it.address }.toSet()
        for (target in appliedConfiguration.current.targets.values) {
            targetTable.setLeavingSignal(
                target.id,
                LeavingSignal.VM_LIST,
                target.address.substringBeforeLast(':') in leaving,
            )
        }
    }
}
