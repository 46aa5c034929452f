package dev.bergamotwind.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Tokens
import kotlin.math.exp
import kotlin.time.Duration

/**
 * Follows demand with an exponentially weighted mean that rises with the time constant [rise] and falls with [fall]:
 * a tenfold rise is followed to 95 % after three times [rise]. Refused and queued requests count as demand, because
 * they are what a further copy would serve. Used by one thread.
 */
public class DemandEstimator(
    private val rise: Duration = DEFAULT_DEMAND_RISE,
    private val fall: Duration = DEFAULT_DEMAND_FALL,
) {
    private val pendingModels = mutableMapOf<ModelId, Long>()
    private val pendingAdapters = mutableMapOf<AdapterId, Long>()
    private var latest = DemandEstimate()
    private var lastNanos: Long? = null

    /** Newest estimate. */
    public val estimate: DemandEstimate get() = latest

    /** Counts [tokens] that arrived for [model] and, if given, [adapter]. */
    public fun observe(model: ModelId, adapter: AdapterId?, tokens: Tokens) {
        pendingModels.merge(model, tokens.value, Long::plus)
        if (adapter != null) pendingAdapters.merge(adapter, tokens.value, Long::plus)
    }

    /** Ends the interval of observation at [nowNanos] of a monotonic clock and returns the new estimate. */
    public fun update(nowNanos: Long): DemandEstimate {
        val seconds = (nowNanos - (lastNanos ?: nowNanos)) / NANOS_PER_SECOND
        if (lastNanos != null && seconds <= 0.0) return latest
        lastNanos = nowNanos
        if (seconds > 0.0) {
            latest = DemandEstimate(
                smooth(latest.models, pendingModels, seconds),
                smooth(latest.adapters, pendingAdapters, seconds),
            )
            pendingModels.clear()
            pendingAdapters.clear()
        }
        return latest
    }

    private fun <K> smooth(old: Map<K, Double>, arrived: Map<K, Long>, seconds: Double): Map<K, Double> =
        (old.keys + arrived.keys).associateWith { key ->
            val before = old[key] ?: 0.0
            val now = (arrived[key] ?: 0L) / seconds
            val constant = if (now > before) rise else fall
            before + (now - before) * (1 - exp(-seconds * NANOS_PER_SECOND / constant.inWholeNanoseconds))
        }.filterValues { it >= NEGLIGIBLE_TOKENS_PER_SECOND }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val NEGLIGIBLE_TOKENS_PER_SECOND = 1e-3
    }
}
