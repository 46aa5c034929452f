package dev.bergamotwind.serving

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.targets.TargetRegistry

/**
 * Updates the target book from the targets' entries in the store. Entries that expired during an outage of the store
 * are written again shortly after its recovery if their targets are alive, so an entry missing then is removed from the
 * book only after that time.
 */
internal class TargetListener(
    private val targets: TargetRegistry,
    private val loop: ServingLoop,
    private val decoder: StoreDecoder,
    private val recorder: EventRecorder,
) {
    private val presentTargets = HashSet<TargetId>()
    private var trustRemovalsAfterMillis: Long? = null

    fun onItemWritten(item: StoreItem) {
        val id = decoder.targetId(item.key)
        decoder.target(item).fold(
            { fault ->
                recorder.event("target.unreadable") {
                    field("target", id)
                    field("fault", fault)
                    field("revision", item.revision)
                }
                removeTarget(id)
            },
            { record ->
                val known = targets.target(id)?.record
                presentTargets += id
                if (known?.lifecycle != record.lifecycle) {
                    recorder.event("target.known") {
                        field("target", id)
                        field("lifecycle", record.lifecycle)
                        field("service", record.service)
                        field("models", record.models.keys.joinToString(",").ifEmpty { null })
                        field("in_memory", record.modelsInMemory.joinToString(",").ifEmpty { null })
                        field("on_disk", record.modelsOnDisk.joinToString(",").ifEmpty { null })
                        field("revision", item.revision)
                    }
                }
                targets.apply(record)
            },
        )
    }

    fun onKeyRemoved(key: String) {
        val id = decoder.targetId(key)
        presentTargets -= id
        removeUnlessPresent(id, trustRemovalsAfterMillis?.let { it - loop.nowMillis() } ?: 0)
    }

    /** Handles an entry that the store has lost; a target that is alive writes it again. */
    fun onKeyLost(key: String) {
        val id = decoder.targetId(key)
        presentTargets -= id
        removeUnlessPresent(id, ENTRY_REWRITE_MILLIS)
    }

    /** Handles the recovery of the store after [outageMillis]; entries expire only after a few missed heartbeats. */
    fun onStoreRecovered(outageMillis: Long) {
        if (outageMillis >= MIN_ENTRY_EXPIRY_MILLIS) trustRemovalsAfterMillis = loop.nowMillis() + ENTRY_REWRITE_MILLIS
    }

    private fun removeUnlessPresent(id: TargetId, waitMillis: Long) {
        if (waitMillis <= 0) {
            removeTarget(id)
        } else {
            loop.schedule(waitMillis) { if (id !in presentTargets) removeTarget(id) }
        }
    }

    private fun removeTarget(id: TargetId) {
        if (targets.target(id) == null) return
        recorder.event("target.gone") { field("target", id) }
        targets.remove(id)
    }
}
