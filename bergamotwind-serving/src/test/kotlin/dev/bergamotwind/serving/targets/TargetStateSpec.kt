package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.Samples
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against a load of other VMs that drifts from the sum of what they tell. */
internal class TargetStateSpec {
    @Test
    fun `the load of other VMs is the sum of what each told last`() {
        val random = Random(3)
        val state = TargetState(Samples.record("t1"), 0)
        val told = HashMap<VmId, InFlightLoad>()
        repeat(2_000) {
            val vm = VmId("vm-${random.nextInt(20)}")
            val share = if (random.nextInt(4) == 0) {
                null
            } else {
                InFlightLoad(random.nextInt(9), random.nextInt(500), random.nextInt(500), random.nextInt(500), it)
            }
            if (share == null) told.remove(vm) else told[vm] = share
            state.peerReported(vm, share)
        }
        assertEquals(told.values.fold(InFlightLoad(), InFlightLoad::plus), state.peerLoad)
    }
}
