package dev.bergamotwind.configuration

import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.TeamId
import kotlinx.serialization.Serializable

/** A key of a team, known only by its digest. */
@Serializable
public data class ApiKey(val digest: KeyDigest, val team: TeamId)
