package dev.bergamotwind.replay

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.ArtifactReport
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.configuration.Target

/**
 * Engine on virtual time: a continuous batch whose requests slow each other down, a prefix cache in limited memory,
 * and artifacts that the [store] loads.
 */
internal class VirtualEngine(val target: Target, private val clock: VirtualClock, private val store: WeightStore) {
    private class HeldArtifact(val memory: Mebibytes, var state: ArtifactState)

    private val heldArtifacts = mutableMapOf<Artifact, HeldArtifact>()
    private val prefixes = LinkedHashMap<String, Unit>(PREFIX_CACHE_SIZE, LOAD_FACTOR, true)
    private val waiting = ArrayDeque<VirtualCall>()
    private val running = mutableSetOf<VirtualCall>()
    private var lastOrder = 0L

    /** False while the engine is dead. */
    var isUp: Boolean = true
        private set

    /** Memory in use. */
    val usedMemory: Mebibytes get() = Mebibytes(heldArtifacts.values.sumOf { it.memory.value })

    fun preload(artifact: Artifact, memory: Mebibytes) {
        heldArtifacts[artifact] = HeldArtifact(memory, ArtifactState.LOADED)
    }

    fun load(artifact: Artifact, memory: Mebibytes, order: Long) {
        lastOrder = maxOf(lastOrder, order)
        if (!isUp || artifact in heldArtifacts) return
        val item = HeldArtifact(memory, ArtifactState.LOADING)
        heldArtifacts[artifact] = item
        val onLoaded = { item.state = ArtifactState.LOADED }
        if (artifact.adapter == null) store.loadModel(memory.value, onLoaded) else store.loadAdapter(onLoaded)
    }

    fun unload(artifact: Artifact, order: Long) {
        lastOrder = maxOf(lastOrder, order)
        heldArtifacts.remove(artifact)
    }

    fun kill() {
        isUp = false
        heldArtifacts.clear()
        prefixes.clear()
        val failedCalls = running + waiting
        running.clear()
        waiting.clear()
        failedCalls.forEach { it.onEnd(false) }
    }

    fun restart() {
        isUp = true
    }

    fun submit(call: VirtualCall) {
        if (!isUp || heldArtifacts[call.model]?.state != ArtifactState.LOADED) return call.onEnd(false)
        waiting.addLast(call)
        startNext()
    }

    fun report(): EngineReport? = if (!isUp) {
        null
    } else {
        EngineReport(
            target.id,
            clock.wallMillis(),
            running.size,
            waiting.size,
            usedMemory,
            lastOrder,
            heldArtifacts.map { (artifact, item) -> ArtifactReport(artifact, item.state, item.memory) },
            prefixes.keys.toList(),
        )
    }

    private fun startNext() {
        while (running.size < BATCH_SIZE) start(waiting.removeFirstOrNull() ?: return)
    }

    private fun start(call: VirtualCall) {
        running += call
        val slowdown = 1.0 + running.size * SLOWDOWN_PER_REQUEST
        val prefillFactor = if (prefixes.put(call.record.prefix, Unit) == null) 1.0 else CACHED_PREFILL_FACTOR
        if (prefixes.size > PREFIX_CACHE_SIZE) prefixes.remove(prefixes.keys.first())
        val adapterMillis = if (call.adapter == null || call.adapter in heldArtifacts) 0.0 else ADAPTER_MISS_MILLIS
        val prefillMillis = adapterMillis + call.record.promptTokens * PREFILL_MILLIS * prefillFactor * slowdown
        val decodeMillis = call.record.outputTokens * DECODE_MILLIS * slowdown
        clock.scheduleAfter(prefillMillis.toLong()) { if (call in running) call.onFirstToken() }
        clock.scheduleAfter((prefillMillis + decodeMillis).toLong()) {
            if (running.remove(call)) {
                call.onEnd(true)
                startNext()
            }
        }
    }

    private companion object {
        const val BATCH_SIZE = 32
        const val PREFIX_CACHE_SIZE = 48
        const val LOAD_FACTOR = 0.75f
        const val SLOWDOWN_PER_REQUEST = 0.06
        const val CACHED_PREFILL_FACTOR = 0.2
        const val PREFILL_MILLIS = 0.25
        const val DECODE_MILLIS = 20.0
        const val ADAPTER_MISS_MILLIS = 20.0
    }
}
