package dev.bergamotwind.serving.call

import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedTeam

/** Rank of a request among those of an engine; 0 is served first. */
internal object Urgency {
    private const val MOST_URGENT = 2
    private const val LEAST_URGENT = 9

    /** Requests with much time give way to those with little; within these the configured priority decides. */
    fun of(route: ServedRoute, team: ServedTeam?): Int {
        val rank = MOST_URGENT + (team?.priority ?: route.priority)
        val patient = if (route.targetLatencyMillis > PATIENT_TARGET_MILLIS) PATIENT_RANKS else 0
        return (rank + patient).coerceIn(0, LEAST_URGENT)
    }
}
