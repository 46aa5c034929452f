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

/** Reads and writes memory ledgers in the key-value service. */
public class MemoryLedgerStore(private val keyValue: KeyValueService, private val monitor: InvariantMonitor) {
    /** Reads all ledgers in one call. */
    public fun readAll(): Either<Failure, Map<TargetId, LedgerRecord>> =
        keyValue.list(KeyRange(LEDGER_PREFIX)).map { listing ->
            listing.entries.mapNotNull(::decode).associateBy { it.target }
        }

    /**
     * Replaces [record] by [updated] if [record] and [unchangedRecords] are unchanged in the key-value service and
     * [ownershipCondition] holds; otherwise fails with [Failure.Conflict]. If the response is lost, the record is read
     * back and compared: where an order depends on the write, order and fencing numbers rule out that two writers
     * wrote equal contents.
     */
    public fun write(
        record: LedgerRecord,
        updated: MemoryLedger,
        ownershipCondition: Compare,
        unchangedRecords: List<LedgerRecord> = emptyList(),
    ): Either<Failure, LedgerRecord> {
        val increasesUse = updated.used > record.ledger.used
        monitor.check(Invariant.MEMORY_NOT_OVERCOMMITTED, updated.isWithinCapacity || !increasesUse) {
            "target=${record.target} used_mib=${updated.used} capacity_mib=${updated.capacity}"
        }
        val compares =
            (unchangedRecords + record).distinctBy { it.target }.map(::unchangedCondition) + ownershipCondition
        val value = Json.encodeToString(MemoryLedger.serializer(), updated)
        val transaction = Transaction(compares, listOf(Operation.Put(keyOf(record.target), value)))
        return keyValue.transact(transaction).fold(
            { failure -> if (failure is Failure.OutcomeUnknown) readBack(record, updated) else failure.left() },
            { result ->
                val written = LedgerRecord(record.target, updated, result.revision)
                if (result.applied) written.right() else conflictFailure(record.target)
            },
        )
    }

    private fun readBack(record: LedgerRecord, updated: MemoryLedger): Either<Failure, LedgerRecord> =
        keyValue.get(keyOf(record.target)).flatMap { entry ->
            val found = entry?.let(::decode)
            if (found?.ledger == updated) found.right() else conflictFailure(record.target)
        }

    private fun unchangedCondition(record: LedgerRecord): Compare = record.revision?.let { revision ->
        Compare.ModifiedAt(keyOf(record.target), revision)
    } ?: Compare.Absent(keyOf(record.target))

    private fun conflictFailure(target: TargetId): Either<Failure, LedgerRecord> =
        Failure.Conflict("the memory ledger of $target or its ownership has changed").left()

    private fun decode(entry: KeyValueEntry): LedgerRecord? = try {
        val target = TargetId(entry.key.removePrefix(LEDGER_PREFIX))
        LedgerRecord(target, Json.decodeFromString(MemoryLedger.serializer(), entry.value), entry.modificationRevision)
    } catch (failure: SerializationException) {
        // A ledger that cannot be decoded is left unchanged. Its target gets no orders: creating a new record fails.
        logger.error { "event=placement.ledger_unreadable key=${entry.key} error=\"${failure.message}\"" }
        null
    }

    private fun keyOf(target: TargetId): String = LEDGER_PREFIX + target
}
