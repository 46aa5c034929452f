package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.Revision

/** A submitted change that has no revision yet, and the state of the attempts to commit it. Not thread-safe. */
internal class ConfigurationSubmission(
    private val edits: List<ConfigurationEdit>,
    private val author: String,
    val id: ChangeId,
) {
    private var trimState: TrimState? = null

    /** Failure of an earlier attempt that may have committed the change. */
    var unknownOutcome: Failure.OutcomeUnknown? = null

    fun toChange(revision: Revision, wallMillis: Long) = ConfigurationChange(id, revision, edits, author, wallMillis)

    /** Whether [change] in the log has the edits and the author of this submission. */
    fun matches(change: ConfigurationChange) = change.edits == edits && change.author == author

    /**
     * Records the state of log trimming before an attempt. Returns false if the log was trimmed since the first
     * attempt: a missing id is then inconclusive, because this or an earlier submission may have committed the change
     * before it was trimmed.
     */
    fun recordTrimState(trimRecord: KeyValueEntry?): Boolean {
        val previous = trimState
        trimState = TrimState(trimRecord?.modificationRevision)
        return previous == null || previous == trimState
    }

    private data class TrimState(val revision: Revision?)
}
