package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.VmId

/** Everything that a VM knows of one target. Used on the serving loop. */
public class TargetState internal constructor(record: TargetRecord, nowMillis: Long) {
    /** The latest record of the target. */
    public var record: TargetRecord = record
        private set

    internal val health = TargetHealth()
    internal val prompts = PromptCacheEstimate()
    internal val attempts = LinkedHashSet<AttemptLoad>()
    private val holdings = HashMap<ModelId, Set<AdapterId>>(record.models)
    private val peerLoads = HashMap<VmId, InFlightLoad>()
    private val absentUntil = HashMap<Pair<ModelId, AdapterId?>, Long>()
    private var holdingsToldMillis = -HOLDINGS_LIFETIME_MILLIS
    private var load: ReportedLoad? = null
    private var loadMillis = 0L
    private val coldUntilMillis = nowMillis + record.coldMillis

    /** Ratio of observed to predicted times; above 1 for a slow target. */
    internal var slowness = 1.0
        private set

    /** Sum of what the other VMs have under way here. */
    internal var peerLoad = InFlightLoad()
        private set

    /** Models held, each with its adapters. */
    public val models: Map<ModelId, Set<AdapterId>> get() = holdings

    /** True while the target is slow after its start. */
    internal fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis

    /** Takes in a newer record of the same incarnation. */
    internal fun update(newer: TargetRecord, nowMillis: Long) {
        val changed = newer.models != record.models
        record = newer
        // What the holder of orders tells is newer than a record, which follows with the next heartbeat.
        if (changed && nowMillis - holdingsToldMillis > HOLDINGS_LIFETIME_MILLIS) replaceHoldings(newer.models)
    }

    /** The holder of orders tells what the target holds. */
    internal fun told(models: Map<ModelId, Set<AdapterId>>, nowMillis: Long) {
        holdingsToldMillis = nowMillis
        if (models != holdings) replaceHoldings(models)
    }

    internal fun holds(model: ModelId, adapter: AdapterId?, nowMillis: Long): Boolean {
        val adapters = holdings[model] ?: return false
        return (adapter == null || adapter in adapters) && !isAbsent(model, adapter, nowMillis)
    }

    /** The target refused because it lacks [model] or [adapter]; it is not asked again for a moment. */
    internal fun lacks(model: ModelId, adapter: AdapterId?, nowMillis: Long) {
        absentUntil[model to adapter] = nowMillis + ABSENCE_MILLIS
    }

    internal fun reported(newer: ReportedLoad, nowMillis: Long) {
        load = newer
        loadMillis = nowMillis
    }

    internal fun peerReported(peer: VmId, share: InFlightLoad?) {
        val before = if (share == null) peerLoads.remove(peer) else peerLoads.put(peer, share)
        // Kept as a running sum: each of many VMs tells its part several times a second.
        if (before != share) peerLoad = peerLoad - (before ?: NO_LOAD) + (share ?: NO_LOAD)
    }

    /** What this VM has under way here. */
    internal fun ownLoad(): InFlightLoad = attempts.fold(InFlightLoad()) { sum, attempt ->
        val millis = if (attempt.answeredMillis == null) attempt.promptMillis.toInt() else 0
        sum + InFlightLoad(
            requests = 1,
            urgentMillis = if (attempt.urgency == PriorityClass.URGENT) millis else 0,
            usualMillis = if (attempt.urgency == PriorityClass.USUAL) millis else 0,
            patientMillis = if (attempt.urgency == PriorityClass.PATIENT) millis else 0,
            memoryTokens = attempt.memoryTokens,
        )
    }

    /** Load that the target reported lately, or null. */
    internal fun recentLoad(nowMillis: Long): ReportedLoad? =
        load.takeIf { nowMillis - loadMillis < REPORTED_LOAD_LIFETIME_MILLIS }

    /** True when a request has been without an answer for far longer than predicted and nothing else came since. */
    internal fun isMute(nowMillis: Long): Boolean = attempts.any { attempt ->
        val limit = attempt.predictedMillis * MUTE_FACTOR + MUTE_MARGIN_MILLIS
        attempt.answeredMillis == null && nowMillis - attempt.sentMillis > limit &&
            health.heardMillis < attempt.sentMillis
    }

    internal fun observed(predictedMillis: Double, observedMillis: Double) {
        val ratio = observedMillis / predictedMillis.coerceAtLeast(LEAST_PREDICTION_MILLIS)
        slowness += SLOWNESS_WEIGHT * (ratio.coerceIn(SMALLEST_RATIO, LARGEST_RATIO) - slowness)
    }

    /** Lets an idle slow target be tried again. */
    internal fun forgetSlowness() {
        if (attempts.isEmpty()) slowness += SLOWNESS_FORGETTING * (1 - slowness)
    }

    private fun isAbsent(model: ModelId, adapter: AdapterId?, nowMillis: Long): Boolean {
        if (absentUntil.isEmpty()) return false
        absentUntil.values.removeIf { it <= nowMillis }
        return (model to null) in absentUntil || (model to adapter) in absentUntil
    }

    private fun replaceHoldings(models: Map<ModelId, Set<AdapterId>>) {
        holdings.clear()
        holdings.putAll(models)
        absentUntil.clear()
    }

    private companion object {
        val NO_LOAD = InFlightLoad()
    }
}
