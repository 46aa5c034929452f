package dev.bergamotwind.test

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ArtifactReport
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EngineAction
import dev.bergamotwind.api.EngineOrder
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.FencingNumber
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId

/**
 * Engine in memory that carries out whatever order reaches it, without looking at its capacity. An engine with
 * [checksFencing] refuses an order with an old fencing number or an order number that is not new; a restart forgets
 * both, and everything loaded.
 */
public class UnreliableEngine(
    public val target: TargetId,
    public val checksFencing: Boolean,
    private val clock: Clock,
    private val loadMillis: Long,
    private val clockOffsetMillis: Long = 0,
) {
    private class Held(val memory: Mebibytes, val loadedMillis: Long)

    private val held = mutableMapOf<Artifact, Held>()
    private val history = ArrayDeque<EngineReport>()
    private var fencing = FencingNumber(0)
    private var lastOrder = 0L

    /** Memory that is really in use. */
    public val used: Mebibytes get() = Mebibytes(held.values.sumOf { it.memory.value })

    /** Whether a copy of [model], of whatever version, is loaded. */
    public fun serves(model: ModelId): Boolean =
        held.any { it.key.model == model && it.key.adapter == null && it.value.loadedMillis <= now() }

    /** Models with a loaded copy. */
    public fun servedModels(): Set<ModelId> = held.keys.map { it.model }.filter(::serves).toSet()

    /** Carries out [order] unless it is old and this engine checks. */
    public fun receive(order: EngineOrder) {
        if (checksFencing && (order.fencing < fencing || order.number <= lastOrder)) return
        fencing = maxOf(fencing, order.fencing)
        lastOrder = maxOf(lastOrder, order.number)
        val artifact = order.artifact ?: return
        when (order.action) {
            EngineAction.LOAD -> held.getOrPut(artifact) { Held(order.memory, now() + loadMillis) }
            EngineAction.UNLOAD -> held.remove(artifact)
            EngineAction.CHANGE_ROLE -> Unit
        }
    }

    /** Holds [artifact] from the start, without an order. */
    public fun preload(artifact: Artifact, memory: Mebibytes) {
        held[artifact] = Held(memory, now())
    }

    /** Empties the memory and forgets the orders seen. */
    public fun restart() {
        held.clear()
        fencing = FencingNumber(0)
        lastOrder = 0
    }

    /** Keeps a report of the current state for [laggingReport]. */
    public fun publish() {
        val artifacts = held.map { (artifact, item) ->
            val state = if (item.loadedMillis <= now()) ArtifactState.LOADED else ArtifactState.LOADING
            ArtifactReport(artifact, state, item.memory)
        }
        history.addLast(EngineReport(target, now(), 0, 0, used, lastOrder, artifacts))
        if (history.size > HISTORY_LENGTH) history.removeFirst()
    }

    /** Returns the newest report that is at least [lagMillis] old. */
    public fun laggingReport(lagMillis: Long): EngineReport? = history.lastOrNull { it.wallMillis <= now() - lagMillis }

    private fun now(): Long = clock.wallMillis() + clockOffsetMillis

    private companion object {
        const val HISTORY_LENGTH = 64
    }
}
