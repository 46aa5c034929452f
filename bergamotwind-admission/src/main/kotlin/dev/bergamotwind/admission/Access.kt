package dev.bergamotwind.admission

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId

/** A granted access. [team] and [digest] are null exactly on a route that is open to all. */
public data class Access(
    val team: TeamId?,
    val digest: KeyDigest?,
    val model: ModelId? = null,
    val adapter: AdapterId? = null,
    val route: RouteId? = null,
)
