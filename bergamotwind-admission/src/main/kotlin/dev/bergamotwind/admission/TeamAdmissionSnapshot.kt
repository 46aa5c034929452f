package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId

/**
 * Request counts of one team: [admitted] and [refused] since the process started, [queued] at the time of the snapshot.
 * [team] is null for routes that are open to all callers.
 */
public data class TeamAdmissionSnapshot(val team: TeamId?, val admitted: Long, val refused: Long, val queued: Int)
