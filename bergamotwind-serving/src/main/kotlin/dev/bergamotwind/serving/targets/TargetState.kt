package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.VmId

/** Everything that a VM knows about one target. Used on the serving loop. */
public class TargetState internal constructor(
    record: TargetRecord,
    nowMillis: Long,
    /** What the target has stated about taking work. */
    internal val availability: TargetAvailability = TargetAvailability(),
) {
    /** The latest record of the target. */
    public var record: TargetRecord = record
        private set

    internal val health = TargetHealth()
    internal val promptCache = PromptCacheEstimate()
    internal val sendLimit = TargetSendLimit(nowMillis)
    internal val attempts = LinkedHashSet<AttemptLoad>()
    private val loadedModels = HashMap<ModelId, Set<AdapterId>>(record.models)
    private val peerLoads = HashMap<VmId, InFlightLoad>()
    private val missingUntil = HashMap<Pair<ModelId, AdapterId?>, Long>()
    private var announcedMillis = -ANNOUNCEMENT_LIFETIME_MILLIS
    private var reportedLoad: ReportedLoad? = null
    private var reportedLoadMillis = 0L
    private val coldUntilMillis = nowMillis + record.coldMillis

    /** Moving average of observed latency over predicted latency; above 1 for a slow target. */
    internal var latencyRatio = 1.0
        private set

    /** Sum of the load that the other VMs have in flight at this target. */
    internal var peerLoad = InFlightLoad()
        private set

    /** Loaded models, each with its adapters. */
    public val models: Map<ModelId, Set<AdapterId>> get() = loadedModels

    /** False when the target is leaving, as its entry in the store or one of its answers has said once. */
    internal val acceptsWork: Boolean get() = !availability.isLeaving

    /** True while the target is still slow after its start. */
    internal fun isCold(nowMillis: Long): Boolean = nowMillis < coldUntilMillis

    init {
        recordLifecycle()
    }

    /** Applies a newer record of the same incarnation. */
    internal fun update(newer: TargetRecord, nowMillis: Long) {
        val hasChanged = newer.models != record.models
        record = newer
        recordLifecycle()
        // Announcements of the placement holder are newer than a record, which follows with the next heartbeat.
        if (hasChanged && nowMillis - announcedMillis > ANNOUNCEMENT_LIFETIME_MILLIS) replaceLoadedModels(newer.models)
    }

    /** Applies the loaded models that the placement holder has announced. */
    internal fun applyLoadedModels(models: Map<ModelId, Set<AdapterId>>, nowMillis: Long) {
        announcedMillis = nowMillis
        if (models != loadedModels) replaceLoadedModels(models)
    }

    /** True when the target has loaded [model], and [adapter] unless that is null. */
    internal fun hasLoaded(model: ModelId, adapter: AdapterId?, nowMillis: Long): Boolean {
        val adapters = loadedModels[model] ?: return false
        return (adapter == null || adapter in adapters) && !isMissing(model, adapter, nowMillis)
    }

    /** Records that the target refused because it lacks [model] or [adapter], so that it is not asked again for now. */
    internal fun recordMissing(model: ModelId, adapter: AdapterId?, nowMillis: Long) {
        missingUntil[model to adapter] = nowMillis + MISSING_MODEL_MILLIS
    }

    internal fun recordReportedLoad(newer: ReportedLoad, nowMillis: Long) {
        reportedLoad = newer
        reportedLoadMillis = nowMillis
    }

    internal fun applyPeerLoad(peer: VmId, load: InFlightLoad?) {
        val before = if (load == null) peerLoads.remove(peer) else peerLoads.put(peer, load)
        // Maintained as a running sum, because each of many VMs sends its load several times a second.
        if (before != load) peerLoad = peerLoad - (before ?: NO_LOAD) + (load ?: NO_LOAD)
    }

    /** Load that this VM has in flight at this target. */
    internal fun ownLoad(): InFlightLoad = attempts.fold(InFlightLoad()) { sum, attempt ->
        val millis = if (attempt.firstByteMillis == null) attempt.prefillMillis.toInt() else 0
        sum + InFlightLoad(
            requests = 1,
            urgentPrefillMillis = if (attempt.priority == PriorityClass.URGENT) millis else 0,
            usualPrefillMillis = if (attempt.priority == PriorityClass.USUAL) millis else 0,
            patientPrefillMillis = if (attempt.priority == PriorityClass.PATIENT) millis else 0,
            memoryTokens = attempt.memoryTokens,
        )
    }

    /** Load that the target has reported recently, or null. */
    internal fun recentLoad(nowMillis: Long): ReportedLoad? =
        reportedLoad.takeIf { nowMillis - reportedLoadMillis < REPORTED_LOAD_LIFETIME_MILLIS }

    /** True when a request is unanswered for far longer than predicted and nothing was received since it was sent. */
    internal fun isUnresponsive(nowMillis: Long): Boolean = attempts.any { attempt ->
        val limit = attempt.predictedMillis * UNRESPONSIVE_FACTOR + UNRESPONSIVE_MARGIN_MILLIS
        attempt.firstByteMillis == null && nowMillis - attempt.sentMillis > limit &&
            health.lastContactMillis < attempt.sentMillis
    }

    internal fun recordLatency(predictedMillis: Double, observedMillis: Double) {
        val ratio = observedMillis / predictedMillis.coerceAtLeast(MIN_PREDICTION_MILLIS)
        latencyRatio += LATENCY_RATIO_WEIGHT * (ratio.coerceIn(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO) - latencyRatio)
    }

    /** Moves the latency ratio of an idle target towards 1, so that a slow target is tried again. */
    internal fun decayLatencyRatio() {
        if (attempts.isEmpty()) latencyRatio += LATENCY_RATIO_DECAY * (1 - latencyRatio)
    }

    // An entry of an older copy of the store may say ready again.
    private fun recordLifecycle() {
        if (record.lifecycle == TargetLifecycle.DRAINING) availability.recordLeaving()
    }

    private fun isMissing(model: ModelId, adapter: AdapterId?, nowMillis: Long): Boolean {
        if (missingUntil.isEmpty()) return false
        missingUntil.values.removeIf { it <= nowMillis }
        return (model to null) in missingUntil || (model to adapter) in missingUntil
    }

    private fun replaceLoadedModels(models: Map<ModelId, Set<AdapterId>>) {
        loadedModels.clear()
        loadedModels.putAll(models)
        missingUntil.clear()
    }

    private companion object {
        val NO_LOAD = InFlightLoad()
    }
}
