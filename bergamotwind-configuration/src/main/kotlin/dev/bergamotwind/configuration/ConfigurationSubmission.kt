package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Revision

/** A change before it has a revision. */
internal data class ConfigurationSubmission(val edits: List<ConfigurationEdit>, val author: String, val id: ChangeId) {
    fun toChange(revision: Revision, wallMillis: Long) = ConfigurationChange(id, revision, edits, author, wallMillis)

    /** Whether [change] is this submission as accepted. */
    fun matches(change: ConfigurationChange) = change.edits == edits && change.author == author
}
