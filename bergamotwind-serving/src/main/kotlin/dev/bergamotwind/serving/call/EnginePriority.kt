package dev.bergamotwind.serving.call

import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedTeam
import dev.bergamotwind.serving.targets.PriorityClass

/** Rank of a request among those of an engine. */
internal object EnginePriority {
    private const val TEAM_STEP = 2
    private const val LEAST_URGENT_RANK = 9

    /** The team's priority goes before the route's; requests with much time give way to those with little. */
    fun rank(route: ServedRoute, team: ServedTeam?): Int {
        val ofRoute = route.priority.coerceIn(0, TEAM_STEP - 1)
        val rank = (team?.priority ?: route.priority) * TEAM_STEP + ofRoute
        val patient = if (isPatient(route)) PATIENT_RANKS else 0
        return (rank + patient).coerceIn(0, LEAST_URGENT_RANK)
    }

    /** The class in which VMs tell each other what waits at an engine. */
    fun classOf(route: ServedRoute): PriorityClass = when {
        isPatient(route) -> PriorityClass.PATIENT
        route.priority == 0 -> PriorityClass.URGENT
        else -> PriorityClass.USUAL
    }

    private fun isPatient(route: ServedRoute) = route.targetLatencyMillis > PATIENT_TARGET_MILLIS
}
