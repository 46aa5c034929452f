package dev.bergamotwind.serving.placement

import dev.bergamotwind.api.ModelId
import kotlin.math.exp

/** Measures the work requested of each model as an exponential moving average. Not thread-safe. */
internal class DemandMeter {
    private class Level(var work: Double, var updatedMillis: Long)

    private val levels = HashMap<ModelId, Level>()

    /** Records the arrival of a request that needs [workMillis] of an engine's time. */
    fun arrived(model: ModelId, workMillis: Double, nowMillis: Long) {
        val level = levels.getOrPut(model) { Level(0.0, nowMillis) }
        decay(level, nowMillis)
        level.work += workMillis
    }

    /**
     * Discounts a request that was refused after its arrival: its caller usually retries, so it would be counted twice.
     */
    fun refused(model: ModelId, workMillis: Double) {
        val level = levels[model] ?: return
        level.work = (level.work - workMillis * REPEATED_SHARE).coerceAtLeast(0.0)
    }

    /** Returns the requested milliseconds of work a second by model. */
    fun workPerSecond(nowMillis: Long): Map<ModelId, Int> {
        levels.values.forEach { decay(it, nowMillis) }
        levels.values.removeIf { it.work < NEGLIGIBLE_WORK }
        return levels.mapValues { (it.value.work / DEMAND_MEMORY_SECONDS).toInt() }
    }

    private fun decay(level: Level, nowMillis: Long) {
        val seconds = (nowMillis - level.updatedMillis) / MILLIS_PER_SECOND
        level.work *= exp(-seconds / DEMAND_MEMORY_SECONDS)
        level.updatedMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val NEGLIGIBLE_WORK = 1.0
    }
}
