package dev.bergamotwind.placement

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Tokens
import kotlin.math.exp
import kotlin.time.Duration

/**
 * Estimates demand by an exponentially weighted moving average with the time constant [riseTimeConstant] while demand
 * rises and [fallTimeConstant] while it falls: after three times [riseTimeConstant] the estimate has covered 95 % of a
 * step up. Refused and queued requests count as demand, because an additional copy would serve them. Not thread-safe.
 */
public class DemandEstimator(
    private val riseTimeConstant: Duration = DEFAULT_DEMAND_RISE_TIME_CONSTANT,
    private val fallTimeConstant: Duration = DEFAULT_DEMAND_FALL_TIME_CONSTANT,
) {
    private val pendingModelTokens = mutableMapOf<ModelId, Long>()
    private val pendingAdapterTokens = mutableMapOf<AdapterId, Long>()
    private var latest = DemandEstimate()
    private var lastNanos: Long? = null

    /** Latest estimate. */
    public val estimate: DemandEstimate get() = latest

    /** Counts [tokens] requested for [model] and, unless null, [adapter]. */
    public fun observe(model: ModelId, adapter: AdapterId?, tokens: Tokens) {
        pendingModelTokens.merge(model, tokens.value, Long::plus)
        if (adapter != null) pendingAdapterTokens.merge(adapter, tokens.value, Long::plus)
    }

    /** Ends the observation interval at [nowNanos] of a monotonic clock and returns the new estimate. */
    public fun update(nowNanos: Long): DemandEstimate {
        val seconds = (nowNanos - (lastNanos ?: nowNanos)) / NANOS_PER_SECOND
        if (lastNanos != null && seconds <= 0.0) return latest
        lastNanos = nowNanos
        if (seconds > 0.0) {
            latest = DemandEstimate(
                smooth(latest.models, pendingModelTokens, seconds),
                smooth(latest.adapters, pendingAdapterTokens, seconds),
            )
            pendingModelTokens.clear()
            pendingAdapterTokens.clear()
        }
        return latest
    }

    private fun <K> smooth(old: Map<K, Double>, arrivedTokens: Map<K, Long>, seconds: Double): Map<K, Double> =
        (old.keys + arrivedTokens.keys).associateWith { key ->
            val before = old[key] ?: 0.0
            val now = (arrivedTokens[key] ?: 0L) / seconds
            val timeConstant = if (now > before) riseTimeConstant else fallTimeConstant
            before + (now - before) * (1 - exp(-seconds * NANOS_PER_SECOND / timeConstant.inWholeNanoseconds))
        }.filterValues { it >= NEGLIGIBLE_TOKENS_PER_SECOND }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val NEGLIGIBLE_TOKENS_PER_SECOND = 1e-3
    }
}
