package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.call.ModelRequest
import dev.bergamotwind.serving.catalogue.EngineProfile
import kotlin.math.max
import kotlin.random.Random

/**
 * Picks the target with the shortest predicted time to the first event, from queued prefill, memory and slots in use,
 * round-trip time and the recent outcomes. Used on the serving loop.
 */
internal class TargetPicker(
    private val registry: TargetRegistry,
    private val roundTrips: RoundTripEstimates,
    private val loop: ServingLoop,
    private val random: Random,
    /** The limits that targets have named. */
    val sendLimits: TargetSendLimits,
) {
    val processingTimes = ProcessingTimeEstimator()

    /** Returns the best target, or null when none can take the request now. */
    fun pick(criteria: TargetCriteria): TargetChoice? {
        val now = loop.nowMillis()
        val usable = registry.targetsOf(criteria.service.id).filter { isUsable(it, criteria, now) }
        val healthy = usable.filter { !it.health.isSuspended(now) && !it.isUnresponsive(now) }
        // When all targets are suspended or unresponsive they are used anyway: a doubtful target is better than none.
        val candidates = healthy.ifEmpty { usable }
        val affinityTarget = criteria.modelRequest?.let { affinityTarget(candidates, it) }
        return candidates.map { evaluate(it, criteria, now, it === affinityTarget) }
            .minByOrNull { (choice, penalty) -> choice.predictedMillis * jitter() + penalty }?.first
    }

    /** True when a target of the service that accepts requests and is not suspended has loaded [model]. */
    fun isModelLoaded(criteria: TargetCriteria, model: ModelId): Boolean {
        val now = loop.nowMillis()
        return registry.targetsOf(criteria.service.id).any {
            it.acceptsWork &&
                it.hasLoaded(model, null, now) &&
                !it.health.isSuspended(now)
        }
    }

    /**
     * Milliseconds until a request may be sent to one of the targets that could take it if they were not at the limits
     * that they named, or null when there is no such target.
     */
    fun millisUntilWithinLimits(criteria: TargetCriteria): Long? {
        val now = loop.nowMillis()
        return registry.targetsOf(criteria.service.id).filter { couldTake(it, criteria, now) }.ifEmpty { null }
            ?.let(sendLimits::millisUntilAvailable)
    }

    /**
     * Milliseconds until the first of the targets that serve the request has rested as it has asked, or null when one
     * of them has not asked for rest. Targets that have failed the request count as well: its caller may come back.
     */
    fun millisUntilRested(criteria: TargetCriteria): Long? {
        val now = loop.nowMillis()
        val serving = registry.targetsOf(criteria.service.id).filter { servesRequest(it, criteria, now) }
        return serving.minOfOrNull { it.availability.millisUntilAvailable(now) }?.takeIf { it > 0 }
    }

    /** Records that a request was sent to the chosen target; the result is passed to [recordEnd]. */
    fun recordSent(choice: TargetChoice, request: ModelRequest?, priority: PriorityClass): AttemptLoad {
        val now = loop.nowMillis()
        choice.target.availability.recordSent(now)
        request?.let {
            choice.target.promptCache.recordSent(it)
            processingTimes.recordPrefill(it, choice.prefillMillis)
        }
        return AttemptLoad(
            sentMillis = now,
            predictedMillis = choice.predictedMillis,
            prefillMillis = choice.prefillMillis,
            memoryTokens = request?.memoryTokens ?: 0,
            priority = priority,
            isLimited = sendLimits.recordSent(choice.target),
        ).also { choice.target.attempts += it }
    }

    /** Records that the first byte of a response has arrived. */
    fun recordFirstByte(target: TargetState, load: AttemptLoad, request: ModelRequest?) {
        val now = loop.nowMillis()
        if (load.firstByteMillis != null) return
        load.firstByteMillis = now
        val observed = (now - load.sentMillis).toDouble()
        target.recordLatency(load.predictedMillis, observed)
        if (request != null) {
            processingTimes.recordFirstEvent(request.model, load.predictedMillis, load.prefillMillis, observed)
        } else if (target.peerLoad.requests + target.attempts.size <= target.record.slots) {
            processingTimes.recordServiceTime(target.record.service, observed)
        }
    }

    /** Records that the stream of a request to a model is complete. */
    fun recordStreamEnd(target: TargetState, load: AttemptLoad, request: ModelRequest) {
        val firstByteMillis = load.firstByteMillis ?: return
        processingTimes.recordGeneration(request, (loop.nowMillis() - firstByteMillis).toDouble(), target.record.slots)
    }

    /** Records that the attempt has ended. */
    fun recordEnd(target: TargetState, load: AttemptLoad) {
        target.attempts -= load
    }

    private fun isUsable(target: TargetState, criteria: TargetCriteria, now: Long): Boolean =
        couldTake(target, criteria, now) && sendLimits.maySend(target)

    private fun couldTake(target: TargetState, criteria: TargetCriteria, now: Long): Boolean =
        servesRequest(target, criteria, now) &&
            target.availability.millisUntilAvailable(now) == 0L &&
            target.record.id !in criteria.excluded &&
            target.attempts.size < criteria.connectionLimit

    private fun servesRequest(target: TargetState, criteria: TargetCriteria, now: Long): Boolean = target.acceptsWork &&
        (criteria.modelRequest == null || target.hasLoaded(criteria.modelRequest.model, null, now))

    /** Returns the choice of [target] and the penalty in milliseconds that is added to its prediction. */
    private fun evaluate(
        target: TargetState,
        criteria: TargetCriteria,
        now: Long,
        hasAffinity: Boolean,
    ): Pair<TargetChoice, Double> {
        val engine = criteria.service.engine
        val request = criteria.modelRequest
        val roundTrip = roundTrips.roundTripMillis(target.record.failureDomain)
        val needsAdapter = request?.adapter != null && !target.hasLoaded(request.model, request.adapter, now)
        val prefillMillis = if (request == null) 0.0 else prefillMillis(target, request)
        val waiting = if (engine != null && request != null) {
            engineWaitMillis(target, engine, criteria, request)
        } else {
            plainServiceMillis(target, criteria, now)
        }
        var predicted = roundTrip + (waiting + prefillMillis) * target.latencyRatio
        if (needsAdapter) predicted += ADAPTER_LOAD_MILLIS
        if (target.isCold(now)) predicted *= COLD_FACTOR
        val affinityBonus = if (hasAffinity && request != null) prefillMillis * AFFINITY_BONUS else 0.0
        val regionCost = if (roundTrips.isSameRegion(target.record.failureDomain)) 0.0 else OTHER_REGION_COST_MILLIS
        val penalty = target.health.currentFailureShare(now) * FAILURE_PENALTY_MILLIS - affinityBonus + regionCost
        return TargetChoice(target, predicted, prefillMillis, needsAdapter) to penalty
    }

    private fun prefillMillis(target: TargetState, request: ModelRequest): Double {
        val uncached = request.promptTokens - target.promptCache.cachedTokens(request)
        return max(uncached, MIN_PREFILL_TOKENS) * processingTimes.millisPerToken(request.model)
    }

    private fun engineWaitMillis(
        target: TargetState,
        engine: EngineProfile,
        criteria: TargetCriteria,
        request: ModelRequest,
    ): Double {
        val load = target.peerLoad + target.ownLoad()
        val running = max(load.requests, target.recentLoad(loop.nowMillis())?.let { it.running + it.queued } ?: 0)
        val memoryExcess = load.memoryTokens + request.memoryTokens - engine.cacheTokens * USABLE_MEMORY_SHARE
        val slotExcess = running + 1 - engine.slots
        val turnovers = max(
            memoryExcess / engine.cacheTokens.coerceAtLeast(1),
            slotExcess.toDouble() / engine.slots.coerceAtLeast(1),
        )
        return load.prefillMillisAhead(criteria.priority) + max(0.0, turnovers) * TURNOVER_MILLIS
    }

    private fun plainServiceMillis(target: TargetState, criteria: TargetCriteria, now: Long): Double {
        val inFlight = target.peerLoad.requests + target.attempts.size
        val busy = max(inFlight, target.recentLoad(now)?.let { it.running + it.queued } ?: 0)
        val slots = target.record.slots.coerceAtLeast(1)
        val serviceMillis = processingTimes.serviceMillis(criteria.service.id)
        return serviceMillis * (1 + max(0, busy + 1 - slots).toDouble() / slots) + busy * BUSY_MILLIS
    }

    /**
     * Returns the target at which all VMs prefer to have the same prompt parts and adapter cached. It is chosen by
     * rendezvous hashing over the targets that have loaded the model, which moves few prompts when the set changes.
     */
    private fun affinityTarget(candidates: List<TargetState>, request: ModelRequest): TargetState? {
        val sharedPart = request.sharedParts.lastOrNull()?.id?.value ?: 0L
        val seed = StableHash.hash(sharedPart + (request.adapter?.value?.hashCode() ?: 0) * ADAPTER_MULTIPLIER)
        return candidates.maxByOrNull { StableHash.hash(seed xor it.record.id.value.hashCode().toLong()) }
    }

    // Without jitter, VMs with equal predictions would all choose the same target.
    private fun jitter() = 1 + random.nextDouble() * PREDICTION_JITTER

    private companion object {
        const val ADAPTER_MULTIPLIER = 1_000_003L
    }
}
