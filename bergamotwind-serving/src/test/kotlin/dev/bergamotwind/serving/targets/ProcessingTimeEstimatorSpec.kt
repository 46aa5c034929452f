package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.call.ModelRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

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

    data class WorkCase(val name: String, val prefilledShare: Double, val streamMillis: Double, val expected: Double) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("workCases")
    fun `does not take a model for busier than it is, so that it leaves room for others, when`(case: WorkCase) {
        val estimator = ProcessingTimeEstimator()
        val request = ModelRequest(model, null, promptTokens = 2_000, outputLimitTokens = 300, null, emptyList())
        val prefillMillis = 2_000 * DEFAULT_MILLIS_PER_TOKEN
        repeat(200) {
            estimator.recordPrefill(request, prefillMillis * case.prefilledShare)
            estimator.recordGeneration(request, case.streamMillis, slots = 100)
        }
        assertEquals(case.expected, estimator.engineMillis(request), 1.0)
    }

    @Test
    fun `a request that mostly waited in the queue does not change the estimate of its model`() {
        val estimator = ProcessingTimeEstimator()
        estimator.recordFirstEvent(model, predictedMillis = 900.0, prefillMillis = 100.0, observedMillis = 3_000.0)
        assertEquals(DEFAULT_MILLIS_PER_TOKEN, estimator.millisPerToken(model))
    }

    companion object {
        @JvmStatic
        fun workCases() = listOf(
            WorkCase("nothing is cached", prefilledShare = 1.0, streamMillis = 3_000.0, expected = 110.0 + 30.0),
            WorkCase("most prompts are cached", prefilledShare = 0.2, streamMillis = 3_000.0, expected = 22.0 + 30.0),
            WorkCase("streams are short", prefilledShare = 1.0, streamMillis = 500.0, expected = 110.0 + 5.0),
        )
    }
}
