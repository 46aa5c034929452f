package dev.bergamotwind.routing

import dev.bergamotwind.api.TeamId

/** Identifies identical requests of one team; [digest] covers method, path, query and body. */
public data class SharedRunKey(val team: TeamId, val digest: String)
