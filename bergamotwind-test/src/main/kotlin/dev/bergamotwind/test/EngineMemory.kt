package dev.bergamotwind.test

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ArtifactReport
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineAction
import dev.bergamotwind.api.EngineOrder
import dev.bergamotwind.api.ModelId

/** Accelerator memory of an [EngineServer]. Executes orders even if they overcommit the memory, and counts those. */
public class EngineMemory(private val options: EngineOptions, private val nowMillis: () -> Long) {
    private class HeldArtifact(val report: ArtifactReport, val loadedAtMillis: Long)

    private val heldArtifacts = options.initialArtifacts.entries
        .associateTo(mutableMapOf()) {
            it.key to HeldArtifact(ArtifactReport(it.key, ArtifactState.LOADED, it.value), 0)
        }
    private var highestFencing = 0L

    /** Highest order number accepted so far. */
    public var highestOrder: Long = 0
        private set

    /** Number of executed orders after which the memory in use exceeded the capacity. */
    public var overcommitCount: Int = 0
        private set

    /** Executes [order]; returns false if its deadline passed or its fencing number is outdated and checked. */
    @Synchronized
    public fun execute(order: EngineOrder): Boolean {
        if (nowMillis() > order.deadlineMillis) return false
        if (options.checksFencing && order.fencing.value < highestFencing) return false
        highestFencing = maxOf(highestFencing, order.fencing.value)
        highestOrder = maxOf(highestOrder, order.number)
        val artifact = order.artifact ?: return true
        when (order.action) {
            EngineAction.LOAD -> heldArtifacts.getOrPut(artifact) {
                val report = ArtifactReport(artifact, ArtifactState.LOADING, order.memory)
                HeldArtifact(report, nowMillis() + options.loadMillis)
            }

            EngineAction.UNLOAD -> heldArtifacts.remove(artifact)

            EngineAction.CHANGE_ROLE -> Unit
        }
        if (heldArtifacts.values.sumOf { it.report.memory.value } > options.memory.value) overcommitCount++
        return true
    }

    /** Returns the state of each artifact in memory. */
    @Synchronized
    public fun artifactReports(): List<ArtifactReport> = heldArtifacts.values.map {
        if (nowMillis() >= it.loadedAtMillis) it.report.copy(state = ArtifactState.LOADED) else it.report
    }

    /** Returns whether [model] and, if given, [adapter] are loaded. */
    public fun canServe(model: ModelId, adapter: AdapterId?): Boolean {
        val loaded = artifactReports().filter { it.state == ArtifactState.LOADED && it.artifact.model == model }
        return loaded.any { it.artifact.adapter == null } &&
            (adapter == null || loaded.any { it.artifact.adapter == adapter })
    }
}
