package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ModelId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against estimates that stay wrong for models that are far faster or slower than the default. */
internal class ProcessingTimeEstimatorSpec {
    private val model = ModelId("m1")

    /** Records a request of 2,000 tokens without queueing whose prefill took [millisPerToken]. */
    private fun ProcessingTimeEstimator.recordPrefill(millisPerToken: Double, roundTripMillis: Double = 2.0) {
        val predicted = 2_000 * millisPerToken(model)
        recordFirstEvent(model, predicted + roundTripMillis, predicted, 2_000 * millisPerToken + roundTripMillis)
    }

    @Test
    fun `learns within eight requests that the prefill of a model is eight times as fast as the default`() {
        val estimator = ProcessingTimeEstimator()
        repeat(8) { estimator.recordPrefill(DEFAULT_MILLIS_PER_TOKEN / 8) }
        assertTrue(estimator.millisPerToken(model) < DEFAULT_MILLIS_PER_TOKEN / 4) {
            "${estimator.millisPerTokenByModel}"
        }
    }

    @Test
    fun `a single stall changes a learned estimate little`() {
        val estimator = ProcessingTimeEstimator()
        repeat(40) { estimator.recordPrefill(DEFAULT_MILLIS_PER_TOKEN) }
        estimator.recordPrefill(DEFAULT_MILLIS_PER_TOKEN * 50)
        assertTrue(estimator.millisPerToken(model) < DEFAULT_MILLIS_PER_TOKEN * 1.2) {
            "${estimator.millisPerTokenByModel}"
        }
    }

    @Test
    fun `occasional queueing behind requests of other VMs does not make a model look slow`() {
        val estimator = ProcessingTimeEstimator()
        repeat(60) { estimator.recordPrefill(DEFAULT_MILLIS_PER_TOKEN * if (it % 3 == 0) 3.0 else 1.0) }
        assertTrue(estimator.millisPerToken(model) < DEFAULT_MILLIS_PER_TOKEN * 1.3) {
            "${estimator.millisPerTokenByModel}"
        }
    }

    @Test
    fun `learns that the prefill of a model takes twice as long as the default`() {
        val estimator = ProcessingTimeEstimator()
        repeat(120) { estimator.recordPrefill(DEFAULT_MILLIS_PER_TOKEN * 2) }
        assertTrue(estimator.millisPerToken(model) > DEFAULT_MILLIS_PER_TOKEN * 1.5) {
            "${estimator.millisPerTokenByModel}"
        }
    }

    @Test
    fun `a request that mostly waited in the queue does not change the estimate of its model`() {
        val estimator = ProcessingTimeEstimator()
        estimator.recordFirstEvent(model, predictedMillis = 900.0, prefillMillis = 100.0, observedMillis = 3_000.0)
        assertEquals(DEFAULT_MILLIS_PER_TOKEN, estimator.millisPerToken(model))
    }
}
