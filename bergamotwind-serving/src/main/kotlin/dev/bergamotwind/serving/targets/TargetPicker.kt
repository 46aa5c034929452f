package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.call.ModelRequest
import dev.bergamotwind.serving.catalogue.EngineProfile
import kotlin.math.max
import kotlin.random.Random

/**
 * Chooses the target with the shortest predicted time to the first event: prompt reading that waits there, memory and
 * slots in use, distance, and what its recent outcomes say. Used on the serving loop.
 */
internal class TargetPicker(
    private val book: TargetRegistry,
    private val distance: RoundTripEstimates,
    private val loop: ServingLoop,
    private val random: Random,
) {
    val speed = ProcessingTimeEstimator()

    /** Returns the best target, or null when none can take the request now. */
    fun pick(need: TargetCriteria): TargetChoice? {
        val now = loop.nowMillis()
        val usable = book.ofService(need.service.id).filter { isUsable(it, need, now) }
        val calm = usable.filter { !it.health.isSuspended(now) && !it.isMute(now) }
        // The last targets are never ejected: a doubtful one is better than none.
        val candidates = calm.ifEmpty { usable }
        val home = need.work?.let { home(candidates, it) }
        return candidates.map { choice(it, need, now, it === home) }
            .minByOrNull { (choice, penalty) -> choice.predictedMillis * jitter() + penalty }?.first
    }

    /** True when a target of the service that can be reached holds [model] and takes requests. */
    fun isHeld(need: TargetCriteria, model: ModelId): Boolean {
        val now = loop.nowMillis()
        return book.ofService(need.service.id).any {
            it.record.lifecycle == TargetLifecycle.READY && it.holds(model, null, now) && !it.health.isSuspended(now)
        }
    }

    /** Notes that a request was sent as chosen; the result is handed to [ended]. */
    fun sent(choice: TargetChoice, work: ModelRequest?, urgency: PriorityClass): AttemptLoad {
        val now = loop.nowMillis()
        work?.let { choice.target.prompts.sent(it) }
        return AttemptLoad(now, choice.predictedMillis, choice.promptMillis, work?.memoryTokens ?: 0, urgency)
            .also { choice.target.attempts += it }
    }

    /** The first byte of an answer has arrived. */
    fun answered(target: TargetState, load: AttemptLoad, work: ModelRequest?) {
        val now = loop.nowMillis()
        if (load.answeredMillis != null) return
        load.answeredMillis = now
        val observed = (now - load.sentMillis).toDouble()
        target.observed(load.predictedMillis, observed)
        if (work != null) {
            speed.promptRead(work.model, load.predictedMillis, load.promptMillis, observed)
        } else if (target.peerLoad.requests + target.attempts.size <= target.record.slots) {
            speed.served(target.record.service, observed)
        }
    }

    /** The attempt is over. */
    fun ended(target: TargetState, load: AttemptLoad) {
        target.attempts -= load
    }

    private fun isUsable(target: TargetState, need: TargetCriteria, now: Long): Boolean =
        target.record.lifecycle == TargetLifecycle.READY &&
            target.record.id !in need.excluded &&
            target.attempts.size < need.connectionShare &&
            (need.work == null || target.holds(need.work.model, null, now))

    private fun choice(
        target: TargetState,
        need: TargetCriteria,
        now: Long,
        isHome: Boolean,
    ): Pair<TargetChoice, Double> {
        val engine = need.service.engine
        val work = need.work
        val roundTrip = distance.roundTripMillis(target.record.failureDomain)
        val needsAdapter = work?.adapter != null && !target.holds(work.model, work.adapter, now)
        val promptMillis = if (work == null) 0.0 else promptMillis(target, work)
        val waiting = if (engine != null && work != null) {
            engineWait(target, engine, need, work)
        } else {
            plainWait(target, need, now)
        }
        var predicted = roundTrip + (waiting + promptMillis) * target.slowness
        if (needsAdapter) predicted += ADAPTER_LOAD_MILLIS
        if (target.isCold(now)) predicted *= COLD_FACTOR
        val homeBonus = if (isHome && work != null) promptMillis * HOME_BONUS else 0.0
        val distanceCost = if (distance.isSameRegion(target.record.failureDomain)) 0.0 else OTHER_REGION_COST_MILLIS
        val penalty = target.health.currentFailureShare(now) * FAILURE_PENALTY_MILLIS - homeBonus + distanceCost
        return TargetChoice(target, predicted, promptMillis, needsAdapter) to penalty
    }

    private fun promptMillis(target: TargetState, work: ModelRequest): Double {
        val uncached = work.promptTokens - target.prompts.cachedTokens(work)
        return max(uncached, LEAST_PROMPT_TOKENS) * speed.millisPerToken(work.model)
    }

    private fun engineWait(
        target: TargetState,
        engine: EngineProfile,
        need: TargetCriteria,
        work: ModelRequest,
    ): Double {
        val load = target.peerLoad + target.ownLoad()
        val running = max(load.requests, target.recentLoad(loop.nowMillis())?.let { it.running + it.queued } ?: 0)
        val memoryExcess = load.memoryTokens + work.memoryTokens - engine.cacheTokens * MEMORY_SHARE_USED
        val slotExcess = running + 1 - engine.slots
        val turnover = max(
            memoryExcess / engine.cacheTokens.coerceAtLeast(1),
            slotExcess.toDouble() / engine.slots.coerceAtLeast(1),
        )
        return load.promptMillisAhead(need.urgency) + max(0.0, turnover) * RUN_MILLIS
    }

    private fun plainWait(target: TargetState, need: TargetCriteria, now: Long): Double {
        val known = target.peerLoad.requests + target.attempts.size
        val busy = max(known, target.recentLoad(now)?.let { it.running + it.queued } ?: 0)
        val slots = target.record.slots.coerceAtLeast(1)
        val serviceMillis = speed.serviceMillis(need.service.id)
        return serviceMillis * (1 + max(0, busy + 1 - slots).toDouble() / slots) + busy * BUSY_MILLIS
    }

    /**
     * The target at which all VMs prefer to have the same prompt parts and adapter cached: by rendezvous hashing over
     * those that hold the model, which moves few prompts when the set changes.
     */
    private fun home(candidates: List<TargetState>, work: ModelRequest): TargetState? {
        val shared = work.parts.getOrNull(work.parts.size - 2)?.id ?: 0L
        val seed = StableHash.mix(shared + (work.adapter?.value?.hashCode() ?: 0) * ADAPTER_MULTIPLIER)
        return candidates.maxByOrNull { StableHash.mix(seed xor it.record.id.value.hashCode().toLong()) }
    }

    // Equal predictions of several VMs must not all lead to one target.
    private fun jitter() = 1 + random.nextDouble() * PREDICTION_JITTER

    private companion object {
        const val ADAPTER_MULTIPLIER = 1_000_003L
    }
}
