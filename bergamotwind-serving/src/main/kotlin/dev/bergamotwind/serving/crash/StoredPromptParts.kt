package dev.bergamotwind.serving.crash

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.REGISTRATION_RETRY_MILLIS
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.call.PromptPartId
import dev.bergamotwind.serving.decode
import dev.bergamotwind.serving.store.FleetStore
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.store.StorePut
import dev.bergamotwind.serving.store.StoreWrite
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/**
 * Keeps the refused prompt parts in the platform's store, so that they outlive the loss of all VMs. One VM writes them,
 * all read them. A VM that begins a trial changes the item on the condition that no other VM has. Operators release a
 * part by deleting its item. Used on the serving loop.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class StoredPromptParts(
    private val store: FleetStore,
    private val loop: ServingLoop,
    private val quarantine: PromptQuarantine,
    private val recorder: EventRecorder,
) : TrialClaims {
    private class Stored(val crashes: Set<EngineCrashId>, val revision: Long)

    private val codec = Cbor { preferCborLabelsOverNames = true }

    private val storedParts = HashMap<PromptPartId, Stored>()
    private var isWriting = false

    /** Applies an item that was written or read. */
    fun onItemWritten(item: StoreItem) {
        val part = PromptPartId.parse(item.key.removePrefix(KEY_PREFIX)) ?: return recordUnreadable(item, "no part id")
        val stored = codec.decode(StoredPromptPart.serializer(), item.value)
            .fold({ return recordUnreadable(item, it) }, { it })
        storedParts[part] = Stored(stored.report.crashAges.keys, item.revision)
        val elapsedMillis = (loop.wallMillis() - stored.writtenWallMillis).coerceAtLeast(0)
        quarantine.apply(stored.report.olderBy(elapsedMillis))
    }

    /** Releases the part whose item was deleted. */
    fun onKeyRemoved(key: String) {
        val part = PromptPartId.parse(key.removePrefix(KEY_PREFIX)) ?: return
        if (storedParts.remove(part) != null) quarantine.release(part)
    }

    /** Handles an item that the store has lost: the part stays refused, and the placement holder writes it again. */
    fun onKeyLost(key: String) {
        PromptPartId.parse(key.removePrefix(KEY_PREFIX))?.let(storedParts::remove)
    }

    override fun claim(report: PromptPartReport, reply: (Boolean) -> Unit) {
        val key = KEY_PREFIX + report.part
        val condition = mapOf(key to (storedParts[report.part]?.revision ?: 0))
        store.write(StoreWrite(condition, listOf(StorePut(key, encode(report), lease = 0)))) { result ->
            result.fold({}) { storedParts[report.part] = Stored(report.crashAges.keys, it) }
            reply(result.isRight())
        }
    }

    /** Writes what has changed since the items were written; called at the placement holder. */
    fun writeChanges() {
        if (isWriting) return
        val refused = quarantine.refusedParts
        val changed = refused.filter { storedParts[it.id]?.crashes != it.crashes.keys }.take(WRITTEN_PARTS)
        val released = storedParts.keys.filter { part -> refused.none { it.id == part } }.take(WRITTEN_PARTS)
        if (changed.isEmpty() && released.isEmpty()) return
        isWriting = true
        val reports = changed.map { quarantine.reportOf(it) }
        val puts = reports.map { StorePut(KEY_PREFIX + it.part, encode(it), lease = 0) }
        store.write(StoreWrite(puts = puts, deletes = released.map { KEY_PREFIX + it })) { result ->
            result.fold(
                { loop.schedule(REGISTRATION_RETRY_MILLIS) { isWriting = false } },
                { revision ->
                    isWriting = false
                    reports.forEach { storedParts[it.part] = Stored(it.crashAges.keys, revision) }
                    storedParts -= released.toSet()
                },
            )
        }
    }

    private fun encode(report: PromptPartReport): ByteArray =
        codec.encodeToByteArray(StoredPromptPart.serializer(), StoredPromptPart(report, loop.wallMillis()))

    private fun recordUnreadable(item: StoreItem, fault: String?): Unit = recorder.event("prompt-part.unreadable") {
        field("key", item.key)
        field("fault", fault)
    }

    /** Layout of the items. */
    companion object {
        /** Prefix of the keys; the part's id in hexadecimal follows. */
        const val KEY_PREFIX = "bergamotwind/prompt-part/"

        /** Parts written or deleted at once; the platform permits 32 entries in a write. */
        private const val WRITTEN_PARTS = 8
    }
}
