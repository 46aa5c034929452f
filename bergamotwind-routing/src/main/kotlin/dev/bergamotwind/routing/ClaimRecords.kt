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

/** Reads and writes claim records; settles lost responses by reading back. */
internal class ClaimRecords(private val service: KeyValueService) {
    /** A claim record as stored. */
    internal data class Stored(val record: ClaimRecord, val created: Revision, val modified: Revision)

    private sealed interface Write {
        data class Applied(val revision: Revision) : Write

        data object Lost : Write

        data object Refused : Write
    }

    /**
     * Creates the record if there is none and returns what is stored then: [record] itself, recognised by its number,
     * or the record of an earlier claim. Writing it again after a lost response is safe: the write takes effect once.
     */
    fun create(
        key: String,
        record: ClaimRecord,
        lease: LeaseId,
        attemptsLeft: Int = SETTLE_ATTEMPTS,
    ): Either<Failure, Stored> {
        val transaction = Transaction(listOf(Compare.Absent(key)), listOf(Operation.Put(key, encode(record), lease)))
        return write(transaction).flatMap { write ->
            val confirmed = read(key, write).flatMap { stored ->
                when {
                    write is Write.Applied -> Stored(record, write.revision, write.revision).right()
                    stored != null -> stored.right()
                    attemptsLeft > 1 -> create(key, record, lease, attemptsLeft - 1)
                    else -> Failure.OutcomeUnknown("the claim could not be confirmed").left()
                }
            }
            // The lost write may still take effect, whatever went wrong after it.
            if (write is Write.Lost) confirmed.mapLeft { it.asUnknown() } else confirmed
        }
    }

    /** Replaces the claim [created] at [key]; false when that claim is no longer there. */
    fun replace(key: String, created: Revision, record: ClaimRecord, lease: LeaseId): Either<Failure, Boolean> =
        settled(
            Transaction(listOf(Compare.CreatedAt(key, created)), listOf(Operation.Put(key, encode(record), lease))),
        ) { read(key).map { it?.record == record } }

    /** Deletes the claim with the number of [record] if it is still unused; false when it is not there. */
    fun delete(key: String, record: ClaimRecord): Either<Failure, Boolean> = read(key).flatMap { stored ->
        if (stored == null || stored.record != record) {
            false.right()
        } else {
            val unchanged = Compare.ModifiedAt(key, stored.modified)
            settled(Transaction(listOf(unchanged), listOf(Operation.Delete(key)))) {
                read(key).map { it?.record?.number != record.number }
            }
        }
    }

    /** Returns the record at [key], or null if there is none. */
    fun read(key: String): Either<Failure, Stored?> = service.get(key).flatMap { entry ->
        if (entry == null) null.right() else decode(entry)
    }

    /** Writes until the response says what happened; [tookEffect] tells whether an earlier attempt was applied. */
    private fun settled(
        transaction: Transaction,
        attemptsLeft: Int = SETTLE_ATTEMPTS,
        tookEffect: () -> Either<Failure, Boolean>,
    ): Either<Failure, Boolean> = write(transaction).flatMap { write ->
        if (write is Write.Applied) {
            true.right()
        } else {
            tookEffect().flatMap { effect ->
                when {
                    effect || write is Write.Refused -> effect.right()
                    attemptsLeft > 1 -> settled(transaction, attemptsLeft - 1, tookEffect)
                    else -> Failure.OutcomeUnknown("the write could not be confirmed").left()
                }
            }
        }
    }

    private fun read(key: String, after: Write): Either<Failure, Stored?> =
        if (after is Write.Applied) null.right() else read(key)

    private fun write(transaction: Transaction): Either<Failure, Write> = service.transact(transaction).fold(
        { if (it is Failure.OutcomeUnknown) Write.Lost.right() else it.left() },
        { (if (it.applied) Write.Applied(it.revision) else Write.Refused).right() },
    )

    private fun encode(record: ClaimRecord): String = Json.encodeToString(record)

    private fun decode(entry: KeyValueEntry): Either<Failure, Stored> = try {
        Stored(Json.decodeFromString(entry.value), entry.createRevision, entry.modificationRevision).right()
    } catch (failure: SerializationException) {
        Failure.Unavailable("the claim record ${entry.key} cannot be read: ${failure.message}").left()
    }

    private fun Failure.asUnknown(): Failure = Failure.OutcomeUnknown("the claim could not be read back: $message")
}
