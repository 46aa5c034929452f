package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.Revision

/** A change before it has a revision, and what is known about the attempts to add it. Used by one thread. */
internal class ConfigurationSubmission(
    private val edits: List<ConfigurationEdit>,
    private val author: String,
    val id: ChangeId,
) {
    private var trimming: TrimmingState? = null

    /** The failure of an earlier attempt that may have taken effect. */
    var unsettled: Failure.OutcomeUnknown? = null

    fun toChange(revision: Revision, wallMillis: Long) = ConfigurationChange(id, revision, edits, author, wallMillis)

    /** Whether [change] is this submission as accepted. */
    fun matches(change: ConfigurationChange) = change.edits == edits && change.author == author

    /**
     * Notes the state of trimming before an attempt. Returns false when the log was trimmed since the first attempt:
     * that the id is not found then proves nothing, because this or an earlier submission may have added the change
     * and trimming may have removed it.
     */
    fun noteTrimming(newest: KeyValueEntry?): Boolean {
        val seen = trimming
        trimming = TrimmingState(newest?.modificationRevision)
        return seen == null || seen == trimming
    }

    private data class TrimmingState(val revision: Revision?)
}
