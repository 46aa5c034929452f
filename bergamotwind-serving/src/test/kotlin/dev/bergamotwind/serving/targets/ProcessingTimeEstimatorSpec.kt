package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ModelId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against predictions that stay wrong for models that are far faster or slower than assumed. */
internal class ProcessingTimeEstimatorSpec {
    private val model = ModelId("m1")

    /** One request of 2,000 tokens that nothing waits ahead of, read at [millisPerToken]. */
    private fun ProcessingTimeEstimator.observe(millisPerToken: Double, roundTripMillis: Double = 2.0) {
        val predicted = 2_000 * millisPerToken(model)
        promptRead(model, predicted + roundTripMillis, predicted, 2_000 * millisPerToken + roundTripMillis)
    }

    @Test
    fun `learns within eight requests that a model reads prompts eight times as fast as assumed`() {
        val speed = ProcessingTimeEstimator()
        repeat(8) { speed.observe(ASSUMED_MILLIS_PER_TOKEN / 8) }
        assertTrue(speed.millisPerToken(model) < ASSUMED_MILLIS_PER_TOKEN / 4) { "${speed.byModel}" }
    }

    @Test
    fun `a single stall changes a known speed little`() {
        val speed = ProcessingTimeEstimator()
        repeat(40) { speed.observe(ASSUMED_MILLIS_PER_TOKEN) }
        speed.observe(ASSUMED_MILLIS_PER_TOKEN * 50)
        assertTrue(speed.millisPerToken(model) < ASSUMED_MILLIS_PER_TOKEN * 1.2) { "${speed.byModel}" }
    }

    @Test
    fun `requests of other VMs that go ahead now and then do not make a model look slow`() {
        val speed = ProcessingTimeEstimator()
        repeat(60) { speed.observe(ASSUMED_MILLIS_PER_TOKEN * if (it % 3 == 0) 3.0 else 1.0) }
        assertTrue(speed.millisPerToken(model) < ASSUMED_MILLIS_PER_TOKEN * 1.3) { "${speed.byModel}" }
    }

    @Test
    fun `learns that a model reads prompts at half the speed`() {
        val speed = ProcessingTimeEstimator()
        repeat(120) { speed.observe(ASSUMED_MILLIS_PER_TOKEN * 2) }
        assertTrue(speed.millisPerToken(model) > ASSUMED_MILLIS_PER_TOKEN * 1.5) { "${speed.byModel}" }
    }

    @Test
    fun `a request that mostly waited says nothing about its model`() {
        val speed = ProcessingTimeEstimator()
        speed.promptRead(model, predictedMillis = 900.0, promptMillis = 100.0, observedMillis = 3_000.0)
        assertEquals(ASSUMED_MILLIS_PER_TOKEN, speed.millisPerToken(model))
    }
}
