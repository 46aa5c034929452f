package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests that demand is not counted twice, which would load a model on engines that other models need. */
internal class DemandMeterSpec {
    private val model = ModelId("m1")

    /** Returns the demand after ten seconds of ten requests a second; a refused request is retried a second later. */
    private fun measureDemand(isRefused: Boolean): Int {
        val meter = DemandMeter()
        for (now in 0L until 10_000L step 100) {
            val repeats = if (isRefused && now >= 1_000) 2 else 1
            repeat(repeats) {
                meter.recordArrival(model, 100.0, now)
                if (isRefused) meter.recordRefusal(model, 100.0)
            }
        }
        return meter.workPerSecond(10_000).getValue(model)
    }

    @Test
    fun `refused and retried requests count as much as those served at once`() {
        val served = measureDemand(isRefused = false)
        val refused = measureDemand(isRefused = true)
        assertTrue(refused in served * 9 / 10..served * 11 / 10) { "served $served, refused $refused" }
    }

    @Test
    fun `demand decays within seconds`() {
        val meter = DemandMeter()
        meter.recordArrival(model, 3_000.0, 0)
        assertEquals(1_000, meter.workPerSecond(0)[model])
        assertTrue((meter.workPerSecond(9_000)[model] ?: 0) < 100)
    }
}
