package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId

/** Requests of one team since the process started; [team] is null for routes that are open to all. */
public data class TeamAdmissionSnapshot(val team: TeamId?, val admitted: Long, val refused: Long, val waiting: Int)
