package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads and writes claim records. A write whose response was lost is confirmed by reading the record back. */
internal class ClaimRecords(private val service: KeyValueService) {
    /** A claim record as stored. */
    internal data class StoredClaim(val record: ClaimRecord, val created: Revision, val modified: Revision)

    private sealed interface WriteResult {
        data class Applied(val revision: Revision) : WriteResult

        data object ResponseLost : WriteResult

        data object PreconditionFailed : WriteResult
    }

    /**
     * Creates the record if the key has none. Returns what is stored afterwards: [record] itself, recognised by its
     * number, or the record of an earlier claim. Repeating the write after a lost response is safe: it takes effect
     * only once.
     */
    fun create(
        key: String,
        record: ClaimRecord,
        lease: LeaseId,
        attemptsLeft: Int = CLAIM_WRITE_ATTEMPTS,
    ): Either<Failure, StoredClaim> {
        val transaction = Transaction(listOf(Compare.Absent(key)), listOf(Operation.Put(key, encode(record), lease)))
        return write(transaction).flatMap { write ->
            val confirmed = readUnlessApplied(key, write).flatMap { stored ->
                when {
                    write is WriteResult.Applied -> StoredClaim(record, write.revision, write.revision).right()
                    stored != null -> stored.right()
                    attemptsLeft > 1 -> create(key, record, lease, attemptsLeft - 1)
                    else -> Failure.OutcomeUnknown("the claim could not be confirmed").left()
                }
            }
            // A write whose response was lost may still take effect, even if reading it back has failed.
            if (write is WriteResult.ResponseLost) confirmed.mapLeft { it.asOutcomeUnknown() } else confirmed
        }
    }

    /** Replaces the claim at [key] that was created at revision [created]; false when it no longer exists. */
    fun replace(key: String, created: Revision, record: ClaimRecord, lease: LeaseId): Either<Failure, Boolean> =
        writeUntilConfirmed(
            Transaction(listOf(Compare.CreatedAt(key, created)), listOf(Operation.Put(key, encode(record), lease))),
        ) { read(key).map { it?.record == record } }

    /** Deletes the claim at [key] if it still equals [record]; false when it does not. */
    fun delete(key: String, record: ClaimRecord): Either<Failure, Boolean> = read(key).flatMap { stored ->
        if (stored == null || stored.record != record) {
            false.right()
        } else {
            val unchanged = Compare.ModifiedAt(key, stored.modified)
            writeUntilConfirmed(Transaction(listOf(unchanged), listOf(Operation.Delete(key)))) {
                read(key).map { it?.record?.number != record.number }
            }
        }
    }

    /** Returns the record at [key], or null if there is none. */
    fun read(key: String): Either<Failure, StoredClaim?> = service.get(key).flatMap { entry ->
        if (entry == null) null.right() else decode(entry)
    }

    /** Repeats the write until its result is known; [wasApplied] reads back whether an earlier attempt was applied. */
    private fun writeUntilConfirmed(
        transaction: Transaction,
        attemptsLeft: Int = CLAIM_WRITE_ATTEMPTS,
        wasApplied: () -> Either<Failure, Boolean>,
    ): Either<Failure, Boolean> = write(transaction).flatMap { write ->
        if (write is WriteResult.Applied) {
            true.right()
        } else {
            wasApplied().flatMap { applied ->
                when {
                    applied || write is WriteResult.PreconditionFailed -> applied.right()
                    attemptsLeft > 1 -> writeUntilConfirmed(transaction, attemptsLeft - 1, wasApplied)
                    else -> Failure.OutcomeUnknown("the write could not be confirmed").left()
                }
            }
        }
    }

    private fun readUnlessApplied(key: String, write: WriteResult): Either<Failure, StoredClaim?> =
        if (write is WriteResult.Applied) null.right() else read(key)

    private fun write(transaction: Transaction): Either<Failure, WriteResult> = service.transact(transaction).fold(
        { if (it is Failure.OutcomeUnknown) WriteResult.ResponseLost.right() else it.left() },
        { (if (it.applied) WriteResult.Applied(it.revision) else WriteResult.PreconditionFailed).right() },
    )

    private fun encode(record: ClaimRecord): String = Json.encodeToString(record)

    private fun decode(entry: KeyValueEntry): Either<Failure, StoredClaim> = try {
        StoredClaim(Json.decodeFromString(entry.value), entry.createRevision, entry.modificationRevision).right()
    } catch (failure: SerializationException) {
        Failure.Unavailable("the claim record ${entry.key} cannot be read: ${failure.message}").left()
    }

    private fun Failure.asOutcomeUnknown(): Failure =
        Failure.OutcomeUnknown("the claim could not be read back: $message")
}
