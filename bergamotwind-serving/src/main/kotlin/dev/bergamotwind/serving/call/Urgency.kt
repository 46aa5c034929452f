package dev.bergamotwind.serving.call

import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedTeam
import dev.bergamotwind.serving.targets.UrgencyClass

/** Rank of a request among those of an engine. */
internal object Urgency {
    private const val MOST_URGENT_RANK = 2
    private const val LEAST_URGENT_RANK = 9

    /** Requests with much time give way to those with little; within these the configured priority decides. */
    fun rank(route: ServedRoute, team: ServedTeam?): Int {
        val rank = MOST_URGENT_RANK + (team?.priority ?: route.priority)
        val patient = if (isPatient(route)) PATIENT_RANKS else 0
        return (rank + patient).coerceIn(0, LEAST_URGENT_RANK)
    }

    /** The class in which VMs tell each other what waits at an engine. */
    fun classOf(route: ServedRoute, team: ServedTeam?): UrgencyClass = when {
        isPatient(route) -> UrgencyClass.PATIENT
        rank(route, team) <= MOST_URGENT_RANK -> UrgencyClass.URGENT
        else -> UrgencyClass.USUAL
    }

    private fun isPatient(route: ServedRoute) = route.targetLatencyMillis > PATIENT_TARGET_MILLIS
}
