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
    private val snapshotStore = SnapshotStore(service)

    /** Cache of the newest configuration read, so that a change does not require reading the snapshot. */
    private val latestKnown = AtomicReference(OperatorConfiguration())

    /**
     * Appends a change to the log and returns it as accepted. Idempotent: repeated submissions under the same [id] add
     * it once.
     *
     * Errors: [Failure.Invalid] for a faulty edit, [Failure.Conflict] for edits that no longer fit after a concurrent
     * change, [Failure.Unavailable] when this call wrote nothing, [Failure.OutcomeUnknown] when the change may be in
     * the log; submitting again under the same id resolves the last two. An id is retained for at least an hour after
     * its change was accepted.
     */
    public fun submit(
        edits: List<ConfigurationEdit>,
        author: String,
        id: ChangeId,
    ): Either<Failure, ConfigurationChange> {
        if (!changeIdPattern.matches(id.value)) return invalidChangeId(id).left()
        return submit(ConfigurationSubmission(edits, author, id))
    }

    private fun submit(submission: ConfigurationSubmission): Either<Failure, ConfigurationChange> {
        repeat(MAXIMUM_SUBMIT_ATTEMPTS) { number ->
            val outcome = attemptSubmit(submission, isRetry = number > 0)
            val failure = outcome.leftOrNull()
            when {
                failure is Failure.OutcomeUnknown -> submission.unknownOutcome = failure

                failure is Failure.Unavailable -> return (submission.unknownOutcome ?: failure).left()

                // A rejection after a lost response is definite: the log was read since and lacks the change.
                failure != null -> return failure.left()

                else -> outcome.getOrNull()?.let { return it.right() }
            }
        }
        val lost = Failure.Conflict(
            "change ${submission.id} lost $MAXIMUM_SUBMIT_ATTEMPTS races with concurrent changes",
        )
        return (submission.unknownOutcome ?: lost).left()
    }

    /**
     * Returns the changes after [revision] in order. Fails with [Failure.NotFound] when they have been trimmed; then
     * [readLatest] gives the configuration.
     */
    public fun readAfter(revision: Revision): Either<Failure, List<ConfigurationChange>> = either {
        val changes = mutableListOf<ConfigurationChange>()
        do {
            val from = ConfigurationKeys.changeKey(Revision(revision.value + changes.size + 1))
            val range = KeyRange(ConfigurationKeys.CHANGE_PREFIX, from, CHANGES_PER_READ)
            val page = service.list(range).bind().entries.map { decode(it).bind() }
            for (change in page) {
                if (change.revision.value != revision.value + changes.size + 1) raise(changesTrimmed(revision))
                changes += change
            }
        } while (page.size == CHANGES_PER_READ)
        changes
    }

    /** Returns the newest complete snapshot with all later changes applied. */
    public fun readLatest(): Either<Failure, OperatorConfiguration> {
        val start = latestKnown.get()
        val result = if (start.revision == OperatorConfiguration().revision) null else replayFrom(start)
        return if (result == null || result.leftOrNull() is Failure.NotFound) {
            snapshotStore.readNewest().flatMap(::replayFrom)
                .mapLeft { if (it is Failure.NotFound) trimmedConcurrently() else it }
        } else {
            result
        }
    }

    /** Writes a snapshot of [configuration], which must be the result of replaying the log to its revision. */
    public fun writeSnapshot(configuration: OperatorConfiguration): Either<Failure, Unit> =
        snapshotStore.write(configuration)

    /**
     * Deletes snapshots older than the newest two complete ones, and those changes contained in both that are
     * older than an hour.
     */
    public fun trim(): Either<Failure, Unit> = either {
        val oldestRetained = snapshotStore.trim().bind() ?: return@either
        do {
            val range = KeyRange(ConfigurationKeys.CHANGE_PREFIX, limit = CHANGES_PER_DELETION)
            val page = service.list(range).bind().entries
                .map { decode(it).bind() }
                .takeWhile {
                    it.revision <= oldestRetained && clock.wallMillis() - it.wallMillis > CHANGE_RETENTION_MILLIS
                }
            val deletions = page.flatMap {
                listOf(ConfigurationKeys.changeKey(it.revision), ConfigurationKeys.submissionKey(it.id))
            }.map(Operation::Delete)
            val trimRecord = Operation.Put(ConfigurationKeys.TRIM_RECORD, oldestRetained.toString())
            if (page.isNotEmpty()) service.transact(Transaction(emptyList(), deletions + trimRecord)).bind()
        } while (page.size == CHANGES_PER_DELETION)
    }

    /** Tries once to commit the change at the next revision. Returns null if a concurrent change took the revision. */
    private fun attemptSubmit(
        submission: ConfigurationSubmission,
        isRetry: Boolean,
    ): Either<Failure, ConfigurationChange?> = either {
        val trimRecord = service.get(ConfigurationKeys.TRIM_RECORD).bind()
        val base = readLatest().bind()
        if (isRetry) findAccepted(submission).bind()?.let { return@either it }
        if (!submission.recordTrimState(trimRecord)) raise(trimmedConcurrently())
        val change = submission.toChange(base.revision.next(), clock.wallMillis())
        val next = ConfigurationEditor.apply(base, change)
        if (next.isLeft()) findAccepted(submission).bind()?.let { return@either it }
        next.mapLeft { if (isRetry) Failure.Conflict("after a concurrent change, ${it.message}") else it }.bind()
        if (commitChange(change, trimRecord).bind()) change else findAccepted(submission).bind()
    }

    /**
     * Creates the change record and the submission record in one transaction, so that neither can be duplicated. The
     * transaction also requires that nothing was trimmed since [trimRecord] was read: after a process pause or a
     * delayed request, the revision may have been taken and trimmed, and would otherwise be created again.
     */
    private fun commitChange(change: ConfigurationChange, trimRecord: KeyValueEntry?): Either<Failure, Boolean> {
        val text = ConfigurationJson.encodeToString(ConfigurationChange.serializer(), change)
        if (text.length > MAXIMUM_CHANGE_CHARACTERS) return changeTooLarge(change).left()
        val revisionKey = ConfigurationKeys.changeKey(change.revision)
        val idKey = ConfigurationKeys.submissionKey(change.id)
        val notTrimmedSince = if (trimRecord == null) {
            Compare.Absent(ConfigurationKeys.TRIM_RECORD)
        } else {
            Compare.ModifiedAt(trimRecord.key, trimRecord.modificationRevision)
        }
        val transaction = Transaction(
            listOf(Compare.Absent(revisionKey), Compare.Absent(idKey), notTrimmedSince),
            listOf(Operation.Put(revisionKey, text), Operation.Put(idKey, change.revision.toString())),
        )
        return service.transact(transaction).map { it.applied }
    }

    /** Returns the change in the log with the id of the submission, or null if there is none. */
    private fun findAccepted(submission: ConfigurationSubmission): Either<Failure, ConfigurationChange?> = either {
        val record = service.get(ConfigurationKeys.submissionKey(submission.id)).bind() ?: return@either null
        val key = ConfigurationKeys.changeKey(Revision(record.value.toLong()))
        val change = service.get(key).bind()?.let { decode(it).bind() } ?: return@either null
        if (!submission.matches(change)) raise(Failure.Conflict("change id ${submission.id} is already used"))
        change
    }

    private fun replayFrom(from: OperatorConfiguration): Either<Failure, OperatorConfiguration> = either {
        val latest = readAfter(from.revision).bind()
            .fold(from) { configuration, change -> ConfigurationEditor.replay(configuration, change).bind() }
        latestKnown.updateAndGet { if (latest.revision > it.revision) latest else it }
        latest
    }

    private fun decode(entry: KeyValueEntry): Either<Failure, ConfigurationChange> = try {
        ConfigurationJson.decodeFromString(ConfigurationChange.serializer(), entry.value).right()
    } catch (failure: SerializationException) {
        Failure.Unavailable("change ${entry.key} cannot be read: ${failure.message}", "Upgrade this node.").left()
    }

    private fun trimmedConcurrently() = Failure.Unavailable("the change log was trimmed concurrently")

    private fun changesTrimmed(revision: Revision) = Failure.NotFound(
        "changes after revision $revision are no longer in the log",
        "Read the latest configuration instead.",
    )

    private fun changeTooLarge(change: ConfigurationChange) = Failure.Invalid(
        "change ${change.id} is larger than $MAXIMUM_CHANGE_CHARACTERS characters",
        "Split it into several changes.",
    )

    private fun invalidChangeId(id: ChangeId) = Failure.Invalid(
        "change id '$id' is not permitted",
        "Use 1 to 64 letters, digits, '.', '_' or '-'.",
    )

    private companion object {
        val changeIdPattern = Regex("[A-Za-z0-9._-]{1,64}")
    }
}
