package dev.bergamotwind.configuration

import dev.bergamotwind.api.Revision
import kotlinx.serialization.Serializable

/** Written after all [parts] of a snapshot; a snapshot without it, or with another [sha256], is incomplete. */
@Serializable
internal data class SnapshotManifest(val revision: Revision, val parts: Int, val sha256: String)
