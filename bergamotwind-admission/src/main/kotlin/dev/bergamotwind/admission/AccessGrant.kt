package dev.bergamotwind.admission

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId

/** What an authorized request may use. [team] and [digest] are null exactly when the route is open to all callers. */
public data class AccessGrant(
    val team: TeamId?,
    val digest: KeyDigest?,
    val model: ModelId? = null,
    val adapter: AdapterId? = null,
    val route: RouteId? = null,
)
