package dev.bergamotwind.serving.rate

import dev.bergamotwind.api.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against a team that exceeds its rate over all VMs, and against refusals inside the rate. */
class FleetTokenBucketSpec {
    data class FleetCase(
        val name: String,
        /** Units that each VM is asked for a second. */
        val asked: List<Double>,
        val lagMillis: Long,
        /** True when VMs do not hear each other. */
        val isCut: Boolean,
        /** Bounds of the units that all VMs admit in eight seconds. */
        val least: Double,
        val most: Double,
        /** Units beyond the rate and burst that are admitted on purpose. */
        val tolerance: Double = 0.0,
    ) {
        override fun toString() = name
    }

    /** A small fleet in steps of ten milliseconds; totals reach the others after the lag. */
    private class Fleet(val case: FleetCase) {
        val rates = case.asked.map { FleetTokenBucket(RATE, BURST, case.tolerance) }
        val history = mutableListOf<List<Double>>()
        var admitted = 0.0
        private val owed = DoubleArray(case.asked.size)

        fun step(nowMillis: Long, counts: Boolean) {
            history += rates.map { it.spent }
            val told = history.getOrNull(history.size - 1 - (case.lagMillis / STEP_MILLIS).toInt())
            rates.forEachIndexed { index, rate ->
                rate.advance(nowMillis, if (case.isCut) 1.0 / rates.size else 1.0)
                if (!case.isCut) {
                    told?.forEachIndexed { peer, total ->
                        if (peer !=
                            index
                        ) {
                            rate.peerSpent(VmId("$peer"), 1, total)
                        }
                    }
                }
                owed[index] += case.asked[index] * STEP_MILLIS / MILLIS_PER_SECOND
                while (owed[index] >= REQUEST) {
                    owed[index] -= REQUEST
                    if (rate.tryTake(REQUEST) && counts) admitted += REQUEST
                }
            }
        }
    }

    @ParameterizedTest
    @MethodSource("fleets")
    fun `bounds what all VMs admit together`(case: FleetCase) {
        val fleet = Fleet(case)
        var now = 0L
        repeat(WARM_UP_STEPS) {
            now += STEP_MILLIS
            fleet.step(now, counts = false)
        }
        repeat(WINDOW_STEPS) {
            now += STEP_MILLIS
            fleet.step(now, counts = true)
        }
        assertTrue(fleet.admitted >= case.least) { "admitted ${fleet.admitted}, at least ${case.least} is owed" }
        assertTrue(fleet.admitted <= case.most) { "admitted ${fleet.admitted}, at most ${case.most} is permitted" }
    }

    @Test
    fun `a refused request is told when to come back`() {
        val rate = FleetTokenBucket(1_000.0, 1_000.0)
        rate.advance(0, 1.0)
        assertEquals(1_000, rate.millisUntil(1_000.0))
        rate.advance(1_000, 1.0)
        assertTrue(rate.tryTake(1_000.0))
    }

    @Test
    fun `units of a request that did not run are given back`() {
        val rate = FleetTokenBucket(1_000.0, 1_000.0)
        rate.advance(0, 1.0)
        rate.advance(2_000, 1.0)
        assertTrue(rate.tryTake(1_000.0))
        rate.giveBack(1_000.0)
        assertTrue(rate.tryTake(1_000.0))
        assertEquals(1_000.0, rate.spent)
    }

    @Test
    fun `a restarted peer's total counts from zero again`() {
        val rate = FleetTokenBucket(1_000.0, 1_000.0)
        rate.advance(0, 1.0)
        rate.advance(2_000, 1.0)
        rate.peerSpent(VmId("p"), 1, 5_000.0)
        rate.peerSpent(VmId("p"), 1, 5_100.0)
        rate.peerSpent(VmId("p"), 2, 300.0)
        // 1,100 units at most are saved, and 400 of them were used by the peer.
        assertTrue(rate.tryTake(700.0))
        assertTrue(!rate.tryTake(100.0))
    }

    @Test
    fun `a restarted VM takes over what another one knows, once`() {
        val rate = FleetTokenBucket(1_000.0, 1_000.0)
        rate.advance(0, 1.0)
        assertTrue(!rate.tryTake(500.0))
        rate.peerSpent(VmId("p"), 1, 5_000.0)
        rate.adopt(VmId("p"), 700.0)
        assertTrue(rate.tryTake(500.0))
        rate.adopt(VmId("p"), 700.0)
        assertTrue(!rate.tryTake(500.0))
    }

    @Test
    fun `a VM that has run for a while keeps to its own count`() {
        val rate = FleetTokenBucket(1_000.0, 1_000.0, isFull = true)
        rate.advance(0, 1.0)
        assertTrue(rate.tryTake(1_000.0))
        rate.advance(2_100, 0.01)
        assertTrue(rate.level < 200)
        rate.peerSpent(VmId("p"), 1, 0.0)
        rate.adopt(VmId("p"), 1_000.0)
        assertTrue(!rate.tryTake(500.0))
    }

    companion object {
        private const val RATE = 10_000.0
        private const val BURST = 10_000.0
        private const val REQUEST = 500.0
        private const val STEP_MILLIS = 10L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val WARM_UP_STEPS = 300
        private const val WINDOW_STEPS = 800

        /** The platform's bound on eight seconds: rate and burst, a tenth more. */
        private const val PERMITTED = (RATE * 8 + BURST) * 1.1

        @JvmStatic
        fun fleets() = listOf(
            FleetCase("inside the rate, even", List(6) { 1_500.0 }, 100, false, 71_000.0, PERMITTED),
            FleetCase("inside the rate, all at one VM", listOf(9_000.0, 0.0, 0.0), 100, false, 71_000.0, PERMITTED),
            FleetCase("five times the rate", List(6) { 8_333.0 }, 100, false, 78_000.0, PERMITTED),
            FleetCase("five times the rate, long lag", List(6) { 8_333.0 }, 400, false, 70_000.0, PERMITTED + 17_000),
            FleetCase(
                "five times the rate, long lag, with tolerance",
                List(6) { 8_333.0 },
                400,
                false,
                70_000.0,
                PERMITTED + 17_000,
                tolerance = 17_000 * TOLERANCE_SHARE_USED,
            ),
            FleetCase("all VMs cut off", List(6) { 8_333.0 }, 100, true, 70_000.0, PERMITTED),
        )
    }
}
