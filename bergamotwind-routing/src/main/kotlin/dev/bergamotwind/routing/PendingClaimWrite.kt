package dev.bergamotwind.routing

import dev.bergamotwind.api.Revision

/** A write to a claim record that has failed or whose result is not confirmed yet. */
internal sealed interface PendingClaimWrite {
    /** Key of the claim record. */
    val key: String

    /** Deletes [record] if it exists: the claim was released before anything was sent. */
    data class Delete(override val key: String, val record: ClaimRecord) : PendingClaimWrite

    /** Replaces the record that was created at revision [created] by [record]. */
    data class Replace(override val key: String, val created: Revision, val record: ClaimRecord) : PendingClaimWrite
}
