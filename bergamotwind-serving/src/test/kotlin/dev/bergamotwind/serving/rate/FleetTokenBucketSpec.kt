package dev.bergamotwind.serving.rate

import dev.bergamotwind.api.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against teams that exceed their rate over all VMs, and against refusals inside the rate. */
class FleetTokenBucketSpec {
    data class FleetCase(
        val name: String,
        /** Units that are requested from each VM per second. */
        val requestedUnits: List<Double>,
        val lagMillis: Long,
        /** True when the VMs do not hear from each other. */
        val isPartitioned: Boolean,
        /** Bounds of the units that all VMs admit in eight seconds. */
        val minAdmitted: Double,
        val maxAdmitted: Double,
        /** Units beyond the rate and burst that are admitted on purpose. */
        val tolerance: Double = 0.0,
    ) {
        override fun toString() = name
    }

    /** Simulates a small fleet in steps of ten milliseconds; totals reach the other VMs after the lag. */
    private class Fleet(val case: FleetCase) {
        val buckets = case.requestedUnits.map { FleetTokenBucket(RATE, BURST, case.tolerance) }
        val totalsHistory = mutableListOf<List<Double>>()
        var admitted = 0.0
        private val pendingUnits = DoubleArray(case.requestedUnits.size)

        fun step(nowMillis: Long, isMeasured: Boolean) {
            totalsHistory += buckets.map { it.admittedTotal }
            val visibleTotals = totalsHistory.getOrNull(totalsHistory.size - 1 - (case.lagMillis / STEP_MILLIS).toInt())
            buckets.forEachIndexed { index, bucket ->
                bucket.refill(nowMillis, if (case.isPartitioned) 1.0 / buckets.size else 1.0)
                if (!case.isPartitioned) {
                    visibleTotals?.forEachIndexed { peer, total ->
                        if (peer !=
                            index
                        ) {
                            bucket.applyPeerTotal(VmId("$peer"), 1, total)
                        }
                    }
                }
                pendingUnits[index] += case.requestedUnits[index] * STEP_MILLIS / MILLIS_PER_SECOND
                while (pendingUnits[index] >= REQUEST_UNITS) {
                    pendingUnits[index] -= REQUEST_UNITS
                    if (bucket.tryTake(REQUEST_UNITS) && isMeasured) admitted += REQUEST_UNITS
                }
            }
        }
    }

    @ParameterizedTest
    @MethodSource("fleets")
    fun `bounds the units that all VMs admit together`(case: FleetCase) {
        val fleet = Fleet(case)
        var now = 0L
        repeat(WARM_UP_STEPS) {
            now += STEP_MILLIS
            fleet.step(now, isMeasured = false)
        }
        repeat(WINDOW_STEPS) {
            now += STEP_MILLIS
            fleet.step(now, isMeasured = true)
        }
        assertTrue(fleet.admitted >= case.minAdmitted) {
            "admitted ${fleet.admitted}, at least ${case.minAdmitted} is expected"
        }
        assertTrue(fleet.admitted <= case.maxAdmitted) {
            "admitted ${fleet.admitted}, at most ${case.maxAdmitted} is permitted"
        }
    }

    @Test
    fun `a refused request gets the time until units are available`() {
        val bucket = FleetTokenBucket(1_000.0, 1_000.0)
        bucket.refill(0, 1.0)
        assertEquals(1_000, bucket.millisUntilAvailable(1_000.0))
        bucket.refill(1_000, 1.0)
        assertTrue(bucket.tryTake(1_000.0))
    }

    @Test
    fun `units of a request that did not run are refunded`() {
        val bucket = FleetTokenBucket(1_000.0, 1_000.0)
        bucket.refill(0, 1.0)
        bucket.refill(2_000, 1.0)
        assertTrue(bucket.tryTake(1_000.0))
        bucket.refund(1_000.0)
        assertTrue(bucket.tryTake(1_000.0))
        assertEquals(1_000.0, bucket.admittedTotal)
    }

    @Test
    fun `the total of a restarted peer counts from zero`() {
        val bucket = FleetTokenBucket(1_000.0, 1_000.0)
        bucket.refill(0, 1.0)
        bucket.refill(2_000, 1.0)
        bucket.applyPeerTotal(VmId("p"), 1, 5_000.0)
        bucket.applyPeerTotal(VmId("p"), 1, 5_100.0)
        bucket.applyPeerTotal(VmId("p"), 2, 300.0)
        // The bucket holds at most 1,100 units, and the peer has used 400 of them.
        assertTrue(bucket.tryTake(700.0))
        assertTrue(!bucket.tryTake(100.0))
    }

    // Guards against a debt that is forgotten, so that VMs which do not hear from each other at times exceed a rate.
    @Test
    fun `a debt is repaid in full when it is not bounded`() {
        val bucket = FleetTokenBucket(1.0, 1.0, maxDebtBursts = Double.POSITIVE_INFINITY)
        bucket.refill(0, 1.0)
        bucket.applyPeerTotal(VmId("p"), 1, 0.0)
        bucket.applyPeerTotal(VmId("p"), 1, 50.0)
        assertEquals(-50.0, bucket.level)
    }

    // Guards against a peer whose use is counted twice: as reserved while it was not heard from, and as its total.
    @Test
    fun `units that were reserved for a silent peer are not deducted again`() {
        val bucket = FleetTokenBucket(1.0, 1.0, maxDebtBursts = Double.POSITIVE_INFINITY)
        bucket.refill(0, 1.0)
        bucket.applyPeerTotal(VmId("p"), 1, 10.0)
        assertEquals(3.0, bucket.applyPeerTotal(VmId("p"), 1, 30.0, reservedUnits = 17.0))
        assertEquals(0.0, bucket.applyPeerTotal(VmId("p"), 1, 40.0, reservedUnits = 17.0))
        assertEquals(-3.0, bucket.level)
    }

    @Test
    fun `a restarted VM adopts the level of a peer once`() {
        val bucket = FleetTokenBucket(1_000.0, 1_000.0)
        bucket.refill(0, 1.0)
        assertTrue(!bucket.tryTake(500.0))
        bucket.applyPeerTotal(VmId("p"), 1, 5_000.0)
        bucket.adoptLevel(VmId("p"), 700.0)
        assertTrue(bucket.tryTake(500.0))
        bucket.adoptLevel(VmId("p"), 700.0)
        assertTrue(!bucket.tryTake(500.0))
    }

    @Test
    fun `a VM that has run for a while keeps its own level`() {
        val bucket = FleetTokenBucket(1_000.0, 1_000.0, isFull = true)
        bucket.refill(0, 1.0)
        assertTrue(bucket.tryTake(1_000.0))
        bucket.refill(2_100, 0.01)
        assertTrue(bucket.level < 200)
        bucket.applyPeerTotal(VmId("p"), 1, 0.0)
        bucket.adoptLevel(VmId("p"), 1_000.0)
        assertTrue(!bucket.tryTake(500.0))
    }

    companion object {
        private const val RATE = 10_000.0
        private const val BURST = 10_000.0
        private const val REQUEST_UNITS = 500.0
        private const val STEP_MILLIS = 10L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val WARM_UP_STEPS = 300
        private const val WINDOW_STEPS = 800

        /** The platform's limit for eight seconds: rate and burst, plus a tenth. */
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
            FleetCase("all VMs partitioned", List(6) { 8_333.0 }, 100, true, 70_000.0, PERMITTED),
        )
    }
}
