package dev.bergamotwind.configuration

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import kotlinx.serialization.Serializable

/** A team with its token rate per second and burst across all nodes, its queue weight and the items it may use. */
@Serializable
public data class Team(
    val id: TeamId,
    val ratePerSecond: Tokens,
    val burst: Tokens,
    val weight: Int = 1,
    val models: Set<ModelId> = emptySet(),
    val adapters: Set<AdapterId> = emptySet(),
    val routes: Set<RouteId> = emptySet(),
    val unconfirmedKeys: UnconfirmedKeys = UnconfirmedKeys.SERVE,
)
