package dev.bergamotwind.routing

import dev.bergamotwind.api.Revision

/** A write to a claim record that could not be made or confirmed yet. */
internal sealed interface UnsettledClaim {
    /** Key of the claim record. */
    val key: String

    /** The claim was given up unsent, and its record is to be deleted if it exists. */
    data class Removal(override val key: String, val record: ClaimRecord) : UnsettledClaim

    /** The record of the claim [created] is to become [record]. */
    data class Replacement(override val key: String, val created: Revision, val record: ClaimRecord) : UnsettledClaim
}
