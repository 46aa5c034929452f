package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.Samples
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against a peer load that drifts from the sum of the loads that the other VMs have sent. */
internal class TargetStateSpec {
    @Test
    fun `the peer load is the sum of the last load of each VM`() {
        val random = Random(3)
        val state = TargetState(Samples.record("t1"), 0)
        val lastLoads = HashMap<VmId, InFlightLoad>()
        repeat(2_000) {
            val vm = VmId("vm-${random.nextInt(20)}")
            val load = if (random.nextInt(4) == 0) {
                null
            } else {
                InFlightLoad(random.nextInt(9), random.nextInt(500), random.nextInt(500), random.nextInt(500), it)
            }
            if (load == null) lastLoads.remove(vm) else lastLoads[vm] = load
            state.applyPeerLoad(vm, load)
        }
        assertEquals(lastLoads.values.fold(InFlightLoad(), InFlightLoad::plus), state.peerLoad)
    }
}
