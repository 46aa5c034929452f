package dev.bergamotwind.configuration

import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.TeamId
import kotlinx.serialization.Serializable

/** An API key of a team, stored only as its digest. */
@Serializable
public data class ApiKey(val digest: KeyDigest, val team: TeamId)
