package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.ServingLoop

/** The targets that this VM knows, by id and service. Used on the serving loop. */
public class TargetRegistry(private val loop: ServingLoop) {
    private val targets = LinkedHashMap<TargetId, TargetState>()
    private val byService = HashMap<ServiceId, MutableList<TargetState>>()

    /** Called when a target came or left, or holds other models than before. */
    public var onChange: (() -> Unit)? = null

    /** All targets. */
    public val all: Collection<TargetState> get() = targets.values

    /** Returns the target called [id], or null. */
    public fun target(id: TargetId): TargetState? = targets[id]

    /** Returns the targets of [service] in the order in which they came. */
    public fun ofService(service: ServiceId): List<TargetState> = byService[service].orEmpty()

    /** Takes in what a target says of itself. A start under a known id or at another address begins anew. */
    public fun apply(record: TargetRecord) {
        val known = targets[record.id]
        val same = known != null && known.record.startedWallMillis == record.startedWallMillis &&
            known.record.address == record.address && known.record.service == record.service
        if (known != null && same) {
            known.update(record, loop.nowMillis())
        } else {
            remove(record.id)
            val state = TargetState(record, loop.nowMillis())
            targets[record.id] = state
            byService.getOrPut(record.service) { mutableListOf() } += state
        }
        onChange?.invoke()
    }

    /** The target is gone. */
    public fun remove(id: TargetId) {
        val gone = targets.remove(id) ?: return
        byService[gone.record.service]?.remove(gone)
        onChange?.invoke()
    }

    /** The holder of orders tells what [id] holds. */
    public fun told(id: TargetId, models: Map<ModelId, Set<AdapterId>>) {
        val state = targets[id] ?: return
        val before = state.models.toMap()
        state.told(models, loop.nowMillis())
        if (before != state.models) onChange?.invoke()
    }

    /** [peer] tells what it has under way at each target; null when the peer is gone. */
    public fun peerReported(peer: VmId, loads: Map<TargetId, InFlightLoad>?) {
        targets.forEach { (id, state) -> state.peerReported(peer, loads?.get(id)) }
    }
}
