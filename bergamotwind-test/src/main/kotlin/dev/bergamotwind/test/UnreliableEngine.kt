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
 * Simulated engine that executes every order it receives without checking its capacity. An engine with [checksFencing]
 * ignores an order with an outdated fencing number, or with an order number that is not higher than the last one. A
 * restart clears both numbers and all loaded artifacts.
 */
public class UnreliableEngine(
    public val target: TargetId,
    public val checksFencing: Boolean,
    private val clock: Clock,
    private val loadMillis: Long,
    private val clockOffsetMillis: Long = 0,
) {
    private class HeldArtifact(val memory: Mebibytes, val loadedMillis: Long)

    private val heldArtifacts = mutableMapOf<Artifact, HeldArtifact>()
    private val reports = ArrayDeque<EngineReport>()
    private var fencing = FencingNumber(0)
    private var lastOrder = 0L

    /** Memory actually in use, which a lagging report may not show. */
    public val usedMemory: Mebibytes get() = Mebibytes(heldArtifacts.values.sumOf { it.memory.value })

    /** Returns whether a copy of [model], of any version, is loaded. */
    public fun hasLoaded(model: ModelId): Boolean =
        heldArtifacts.any { it.key.model == model && it.key.adapter == null && it.value.loadedMillis <= now() }

    /** Returns the models with a loaded copy. */
    public fun loadedModels(): Set<ModelId> = heldArtifacts.keys.map { it.model }.filter(::hasLoaded).toSet()

    /** Executes [order], unless it is outdated and this engine has [checksFencing]. */
    public fun receive(order: EngineOrder) {
        if (checksFencing && (order.fencing < fencing || order.number <= lastOrder)) return
        fencing = maxOf(fencing, order.fencing)
        lastOrder = maxOf(lastOrder, order.number)
        val artifact = order.artifact ?: return
        when (order.action) {
            EngineAction.LOAD -> heldArtifacts.getOrPut(artifact) { HeldArtifact(order.memory, now() + loadMillis) }
            EngineAction.UNLOAD -> heldArtifacts.remove(artifact)
            EngineAction.CHANGE_ROLE -> Unit
        }
    }

    /** Loads [artifact] immediately and without an order. */
    public fun preload(artifact: Artifact, memory: Mebibytes) {
        heldArtifacts[artifact] = HeldArtifact(memory, now())
    }

    /** Clears the memory and the highest fencing and order numbers. */
    public fun restart() {
        heldArtifacts.clear()
        fencing = FencingNumber(0)
        lastOrder = 0
    }

    /** Records a report of the current state for [laggingReport]. */
    public fun recordReport() {
        val artifacts = heldArtifacts.map { (artifact, item) ->
            val state = if (item.loadedMillis <= now()) ArtifactState.LOADED else ArtifactState.LOADING
            ArtifactReport(artifact, state, item.memory)
        }
        reports.addLast(EngineReport(target, now(), 0, 0, usedMemory, lastOrder, artifacts))
        if (reports.size > MAXIMUM_REPORTS) reports.removeFirst()
    }

    /** Returns the newest report that is at least [lagMillis] old. */
    public fun laggingReport(lagMillis: Long): EngineReport? = reports.lastOrNull { it.wallMillis <= now() - lagMillis }

    private fun now(): Long = clock.wallMillis() + clockOffsetMillis

    private companion object {
        const val MAXIMUM_REPORTS = 64
    }
}
