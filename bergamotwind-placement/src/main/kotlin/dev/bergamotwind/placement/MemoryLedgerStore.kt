package dev.bergamotwind.placement

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.Transaction
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

private val logger = KotlinLogging.logger {}

/** Reads and changes memory ledgers in the key-value service. */
public class MemoryLedgerStore(private val keyValue: KeyValueService, private val monitor: InvariantMonitor) {
    /** Reads all ledgers in one call. */
    public fun readAll(): Either<Failure, Map<TargetId, LedgerRecord>> =
        keyValue.list(KeyRange(LEDGER_PREFIX)).map { listing ->
            listing.entries.mapNotNull(::decode).associateBy { it.target }
        }

    /**
     * Replaces [record] by [updated] if it is unchanged, [ownership] still holds and the ledgers of [witnesses] are
     * unchanged. Fails with [Failure.Conflict] otherwise. A lost answer is resolved by reading the record back; order
     * and fencing numbers make equal contents of two writers impossible where an order depends on the write.
     */
    public fun write(
        record: LedgerRecord,
        updated: MemoryLedger,
        ownership: Compare,
        witnesses: List<LedgerRecord> = emptyList(),
    ): Either<Failure, LedgerRecord> {
        val grows = updated.used > record.ledger.used
        monitor.check(Invariant.MEMORY_NOT_OVERCOMMITTED, updated.fits || !grows) {
            "target=${record.target} used_mib=${updated.used} capacity_mib=${updated.capacity}"
        }
        val compares = (witnesses + record).distinctBy { it.target }.map(::unchanged) + ownership
        val value = Json.encodeToString(MemoryLedger.serializer(), updated)
        val transaction = Transaction(compares, listOf(Operation.Put(keyOf(record.target), value)))
        return keyValue.transact(transaction).fold(
            { failure -> if (failure is Failure.OutcomeUnknown) readBack(record, updated) else failure.left() },
            { result ->
                val written = LedgerRecord(record.target, updated, result.revision)
                if (result.applied) written.right() else conflict(record.target)
            },
        )
    }

    private fun readBack(record: LedgerRecord, updated: MemoryLedger): Either<Failure, LedgerRecord> =
        keyValue.get(keyOf(record.target)).flatMap { entry ->
            val found = entry?.let(::decode)
            if (found?.ledger == updated) found.right() else conflict(record.target)
        }

    private fun unchanged(record: LedgerRecord): Compare = record.revision?.let { revision ->
        Compare.ModifiedAt(keyOf(record.target), revision)
    } ?: Compare.Absent(keyOf(record.target))

    private fun conflict(target: TargetId): Either<Failure, LedgerRecord> =
        Failure.Conflict("the memory ledger of $target or its ownership has changed").left()

    private fun decode(entry: KeyValueEntry): LedgerRecord? = try {
        val target = TargetId(entry.key.removePrefix(LEDGER_PREFIX))
        LedgerRecord(target, Json.decodeFromString(MemoryLedger.serializer(), entry.value), entry.modificationRevision)
    } catch (failure: SerializationException) {
        // An unreadable ledger stays as it is: the target gets no orders, because creating the record would fail.
        logger.error { "event=placement.ledger_unreadable key=${entry.key} error=\"${failure.message}\"" }
        null
    }

    private fun keyOf(target: TargetId): String = LEDGER_PREFIX + target
}
