package dev.bergamotwind.membership

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TeamId

/** Tokens a second that a team asks of a model at one node, or in one failure domain. */
public data class Demand(val team: TeamId, val model: ModelId, val tokensPerSecond: Long)
