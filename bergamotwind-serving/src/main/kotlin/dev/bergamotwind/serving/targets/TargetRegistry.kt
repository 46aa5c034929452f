package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.ServingLoop

/** Registry of the targets that this VM knows, by id and by service. Used on the serving loop. */
public class TargetRegistry(private val loop: ServingLoop) {
    private val targets = LinkedHashMap<TargetId, TargetState>()
    private val byService = HashMap<ServiceId, MutableList<TargetState>>()
    private val departed = DepartedTargets()

    /** Called when a target was added, updated or removed, or when its loaded models have changed. */
    public var onChange: (() -> Unit)? = null

    /** Called with the state of a target that was removed or has started anew. */
    internal var onEnded: ((TargetState) -> Unit)? = null

    /** All targets. */
    public val all: Collection<TargetState> get() = targets.values

    /** Returns the target with [id], or null. */
    public fun target(id: TargetId): TargetState? = targets[id]

    /** Returns the targets of [service] in the order in which they were added. */
    public fun targetsOf(service: ServiceId): List<TargetState> = byService[service].orEmpty()

    /**
     * Applies a record that a target has published. The state of the target is discarded when it has restarted under
     * the same id, or has another address or service.
     */
    public fun apply(record: TargetRecord) {
        val known = targets[record.id]
        val isSameIncarnation = known != null && known.record.startedWallMillis == record.startedWallMillis &&
            known.record.address == record.address && known.record.service == record.service
        if (known != null && isSameIncarnation) {
            known.update(record, loop.nowMillis())
        } else {
            val replaced = detach(record.id)
            val state = TargetState(record, loop.nowMillis(), departed.take(record))
            targets[record.id] = state
            byService.getOrPut(record.service) { mutableListOf() } += state
            replaced?.let { onEnded?.invoke(it) }
        }
        onChange?.invoke()
    }

    /** Removes the target with [id]. */
    public fun remove(id: TargetId) {
        val removed = detach(id) ?: return
        onEnded?.invoke(removed)
        onChange?.invoke()
    }

    private fun detach(id: TargetId): TargetState? = targets.remove(id)?.also {
        byService[it.record.service]?.remove(it)
        departed.add(it, loop.nowMillis())
    }

    /** Applies the loaded models of [id] that the placement holder has announced. */
    public fun applyLoadedModels(id: TargetId, models: Map<ModelId, Set<AdapterId>>) {
        val state = targets[id] ?: return
        val before = state.models.toMap()
        state.applyLoadedModels(models, loop.nowMillis())
        if (before != state.models) onChange?.invoke()
    }

    /** Applies the load that [peer] has in flight at each target; null when [peer] is no longer heard from. */
    public fun applyPeerLoads(peer: VmId, loads: Map<TargetId, InFlightLoad>?) {
        targets.forEach { (id, state) -> state.applyPeerLoad(peer, loads?.get(id)) }
    }
}
