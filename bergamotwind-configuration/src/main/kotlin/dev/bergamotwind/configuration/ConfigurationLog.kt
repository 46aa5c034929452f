package dev.bergamotwind.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import kotlinx.serialization.SerializationException
import java.util.concurrent.atomic.AtomicReference

/**
 * The ordered change log of the operator configuration in the key-value service. All functions block and may be called
 * from any thread.
 */
public class ConfigurationLog(private val service: KeyValueService, private val clock: Clock) {
    private val snapshots = SnapshotStore(service)

    /** The newest configuration this log has read; saves reading the snapshot for every change. */
    private val known = AtomicReference(OperatorConfiguration())

    /**
     * Adds a change to the log once, however often it is submitted under the same [id], and returns it as accepted.
     *
     * Errors: [Failure.Invalid] for a faulty edit, [Failure.Conflict] for edits that no longer fit after a concurrent
     * change, [Failure.Unavailable] when this call wrote nothing, [Failure.OutcomeUnknown] when the change may be in
     * the log; submitting again under the same id settles the last two. An id is known for at least an hour after its
     * change was accepted.
     */
    public fun submit(
        edits: List<ConfigurationEdit>,
        author: String,
        id: ChangeId,
    ): Either<Failure, ConfigurationChange> {
        if (!permittedId.matches(id.value)) return invalidId(id).left()
        return submit(ConfigurationSubmission(edits, author, id))
    }

    private fun submit(submission: ConfigurationSubmission): Either<Failure, ConfigurationChange> {
        repeat(MAXIMUM_SUBMIT_ATTEMPTS) { number ->
            val outcome = attempt(submission, raced = number > 0)
            val failure = outcome.leftOrNull()
            when {
                failure is Failure.OutcomeUnknown -> submission.unsettled = failure

                failure is Failure.Unavailable -> return (submission.unsettled ?: failure).left()

                // A refusal after a lost answer is true: the log was read since and does not hold the change.
                failure != null -> return failure.left()

                else -> outcome.getOrNull()?.let { return it.right() }
            }
        }
        val lost = Failure.Conflict("change ${submission.id} lost $MAXIMUM_SUBMIT_ATTEMPTS races")
        return (submission.unsettled ?: lost).left()
    }

    /**
     * Returns the changes after [revision] in order. Fails with [Failure.NotFound] when they have been trimmed; then
     * [readLatest] gives the configuration.
     */
    public fun readAfter(revision: Revision): Either<Failure, List<ConfigurationChange>> = either {
        val changes = mutableListOf<ConfigurationChange>()
        do {
            val from = ConfigurationKeys.change(Revision(revision.value + changes.size + 1))
            val range = KeyRange(ConfigurationKeys.CHANGES, from, CHANGES_PER_READ)
            val page = service.list(range).bind().entries.map { decode(it).bind() }
            for (change in page) {
                if (change.revision.value != revision.value + changes.size + 1) raise(trimmed(revision))
                changes += change
            }
        } while (page.size == CHANGES_PER_READ)
        changes
    }

    /** Returns the newest complete snapshot with all later changes applied. */
    public fun readLatest(): Either<Failure, OperatorConfiguration> {
        val start = known.get()
        val result = if (start.revision == OperatorConfiguration().revision) null else catchUp(start)
        return if (result == null || result.leftOrNull() is Failure.NotFound) {
            snapshots.readNewest().flatMap(::catchUp).mapLeft { if (it is Failure.NotFound) trimmedMeanwhile() else it }
        } else {
            result
        }
    }

    /** Writes a snapshot of [configuration], which must be what the log yields at its revision. */
    public fun writeSnapshot(configuration: OperatorConfiguration): Either<Failure, Unit> =
        snapshots.write(configuration)

    /**
     * Deletes snapshots older than the newest two complete ones, and the changes that both contain once they are older
     * than an hour.
     */
    public fun trim(): Either<Failure, Unit> = either {
        val oldestKept = snapshots.trim().bind() ?: return@either
        do {
            val page = service.list(KeyRange(ConfigurationKeys.CHANGES, limit = CHANGES_PER_DELETION)).bind().entries
                .map { decode(it).bind() }
                .takeWhile { it.revision <= oldestKept && clock.wallMillis() - it.wallMillis > KEPT_CHANGE_MILLIS }
            val deletions = page.flatMap {
                listOf(ConfigurationKeys.change(it.revision), ConfigurationKeys.submitted(it.id))
            }.map(Operation::Delete)
            val note = Operation.Put(ConfigurationKeys.TRIMMED, oldestKept.toString())
            if (page.isNotEmpty()) service.transact(Transaction(emptyList(), deletions + note)).bind()
        } while (page.size == CHANGES_PER_DELETION)
    }

    /** Tries the next revision once. Returns null when another change took it first. */
    private fun attempt(submission: ConfigurationSubmission, raced: Boolean): Either<Failure, ConfigurationChange?> =
        either {
            val trimming = service.get(ConfigurationKeys.TRIMMED).bind()
            val base = readLatest().bind()
            if (raced) accepted(submission).bind()?.let { return@either it }
            if (!submission.noteTrimming(trimming)) raise(trimmedMeanwhile())
            val change = submission.toChange(base.revision.next(), clock.wallMillis())
            val next = ConfigurationEditor.apply(base, change)
            if (next.isLeft()) accepted(submission).bind()?.let { return@either it }
            next.mapLeft { if (raced) Failure.Conflict("after a concurrent change, ${it.message}") else it }.bind()
            if (create(change, trimming).bind()) change else accepted(submission).bind()
        }

    /**
     * One transaction creates the revision and the record of the id, so neither can exist twice. It also compares that
     * nothing was trimmed since [trimming] was read: after a pause, or when the request comes late, the revision may
     * have been taken and trimmed, and would otherwise be created a second time in the past.
     */
    private fun create(change: ConfigurationChange, trimming: KeyValueEntry?): Either<Failure, Boolean> {
        val text = ConfigurationJson.encodeToString(ConfigurationChange.serializer(), change)
        if (text.length > MAXIMUM_CHANGE_CHARACTERS) return tooLarge(change).left()
        val revisionKey = ConfigurationKeys.change(change.revision)
        val idKey = ConfigurationKeys.submitted(change.id)
        val untrimmed = if (trimming == null) {
            Compare.Absent(ConfigurationKeys.TRIMMED)
        } else {
            Compare.ModifiedAt(trimming.key, trimming.modificationRevision)
        }
        val transaction = Transaction(
            listOf(Compare.Absent(revisionKey), Compare.Absent(idKey), untrimmed),
            listOf(Operation.Put(revisionKey, text), Operation.Put(idKey, change.revision.toString())),
        )
        return service.transact(transaction).map { it.applied }
    }

    /** Returns the change that the log holds under the submission's id, or null. */
    private fun accepted(submission: ConfigurationSubmission): Either<Failure, ConfigurationChange?> = either {
        val record = service.get(ConfigurationKeys.submitted(submission.id)).bind() ?: return@either null
        val key = ConfigurationKeys.change(Revision(record.value.toLong()))
        val change = service.get(key).bind()?.let { decode(it).bind() } ?: return@either null
        if (!submission.matches(change)) raise(Failure.Conflict("change id ${submission.id} is already used"))
        change
    }

    private fun catchUp(from: OperatorConfiguration): Either<Failure, OperatorConfiguration> = either {
        val latest = readAfter(from.revision).bind()
            .fold(from) { configuration, change -> ConfigurationEditor.replay(configuration, change).bind() }
        known.updateAndGet { if (latest.revision > it.revision) latest else it }
        latest
    }

    private fun decode(entry: KeyValueEntry): Either<Failure, ConfigurationChange> = try {
        ConfigurationJson.decodeFromString(ConfigurationChange.serializer(), entry.value).right()
    } catch (failure: SerializationException) {
        Failure.Unavailable("change ${entry.key} cannot be read: ${failure.message}", "Upgrade this node.").left()
    }

    private fun trimmedMeanwhile() = Failure.Unavailable("the change log was trimmed meanwhile")

    private fun trimmed(revision: Revision) = Failure.NotFound(
        "changes after revision $revision are no longer in the log",
        "Read the latest configuration instead.",
    )

    private fun tooLarge(change: ConfigurationChange) = Failure.Invalid(
        "change ${change.id} is larger than $MAXIMUM_CHANGE_CHARACTERS characters",
        "Split it into several changes.",
    )

    private fun invalidId(id: ChangeId) = Failure.Invalid(
        "change id '$id' is not permitted",
        "Use 1 to 64 letters, digits, '.', '_' or '-'.",
    )

    private companion object {
        val permittedId = Regex("[A-Za-z0-9._-]{1,64}")
    }
}
