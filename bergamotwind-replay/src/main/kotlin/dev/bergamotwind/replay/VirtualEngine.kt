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
    private class Held(val memory: Mebibytes, var state: ArtifactState)

    private val held = mutableMapOf<Artifact, Held>()
    private val prefixes = LinkedHashMap<String, Unit>(PREFIX_CACHE_SIZE, LOAD_FACTOR, true)
    private val queue = ArrayDeque<VirtualCall>()
    private val running = mutableSetOf<VirtualCall>()
    private var lastOrder = 0L

    /** False while the engine is dead. */
    var isUp: Boolean = true
        private set

    /** Memory in use. */
    val used: Mebibytes get() = Mebibytes(held.values.sumOf { it.memory.value })

    fun preload(artifact: Artifact, memory: Mebibytes) {
        held[artifact] = Held(memory, ArtifactState.LOADED)
    }

    fun load(artifact: Artifact, memory: Mebibytes, order: Long) {
        lastOrder = maxOf(lastOrder, order)
        if (!isUp || artifact in held) return
        val item = Held(memory, ArtifactState.LOADING)
        held[artifact] = item
        val done = { item.state = ArtifactState.LOADED }
        if (artifact.adapter == null) store.load(memory.value, done) else store.loadAdapter(done)
    }

    fun unload(artifact: Artifact, order: Long) {
        lastOrder = maxOf(lastOrder, order)
        held.remove(artifact)
    }

    fun kill() {
        isUp = false
        held.clear()
        prefixes.clear()
        val broken = running + queue
        running.clear()
        queue.clear()
        broken.forEach { it.ended(false) }
    }

    fun revive() {
        isUp = true
    }

    fun call(call: VirtualCall) {
        if (!isUp || held[call.model]?.state != ArtifactState.LOADED) return call.ended(false)
        queue.addLast(call)
        startNext()
    }

    fun report(): EngineReport? = if (!isUp) {
        null
    } else {
        EngineReport(
            target.id,
            clock.wallMillis(),
            running.size,
            queue.size,
            used,
            lastOrder,
            held.map { (artifact, item) -> ArtifactReport(artifact, item.state, item.memory) },
            prefixes.keys.toList(),
        )
    }

    private fun startNext() {
        while (running.size < BATCH_SIZE) start(queue.removeFirstOrNull() ?: return)
    }

    private fun start(call: VirtualCall) {
        running += call
        val slowdown = 1.0 + running.size * SLOWDOWN_PER_REQUEST
        val cold = if (prefixes.put(call.record.prefix, Unit) == null) 1.0 else WARM_PREFILL_PART
        if (prefixes.size > PREFIX_CACHE_SIZE) prefixes.remove(prefixes.keys.first())
        val adapter = if (call.adapter == null || call.adapter in held) 0.0 else ADAPTER_MISS_MILLIS
        val prefill = adapter + call.record.promptTokens * PREFILL_MILLIS * cold * slowdown
        val decode = call.record.outputTokens * DECODE_MILLIS * slowdown
        clock.after(prefill.toLong()) { if (call in running) call.firstToken() }
        clock.after((prefill + decode).toLong()) {
            if (running.remove(call)) {
                call.ended(true)
                startNext()
            }
        }
    }

    private companion object {
        const val BATCH_SIZE = 32
        const val PREFIX_CACHE_SIZE = 48
        const val LOAD_FACTOR = 0.75f
        const val SLOWDOWN_PER_REQUEST = 0.06
        const val WARM_PREFILL_PART = 0.2
        const val PREFILL_MILLIS = 0.25
        const val DECODE_MILLIS = 20.0
        const val ADAPTER_MISS_MILLIS = 20.0
    }
}
