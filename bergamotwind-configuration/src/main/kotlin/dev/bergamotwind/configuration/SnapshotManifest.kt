package dev.bergamotwind.configuration

import dev.bergamotwind.api.Revision
import kotlinx.serialization.Serializable

/** Manifest written after all [parts] of a snapshot. A snapshot without it or with another [sha256] is incomplete. */
@Serializable
internal data class SnapshotManifest(val revision: Revision, val parts: Int, val sha256: String)
