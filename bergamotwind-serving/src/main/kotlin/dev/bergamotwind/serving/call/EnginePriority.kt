package dev.bergamotwind.serving.call

import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedTeam
import dev.bergamotwind.serving.targets.PriorityClass

/** Computes the priority of requests at an engine. */
internal object EnginePriority {
    private const val TEAM_STEP = 2
    private const val LOWEST_PRIORITY_RANK = 9

    /**
     * Returns the rank of a request, 0 is first. The team's priority takes precedence over the route's; requests with
     * a long target latency rank after those with a short one.
     */
    fun rank(route: ServedRoute, team: ServedTeam?): Int {
        val routeRank = route.priority.coerceIn(0, TEAM_STEP - 1)
        val rank = (team?.priority ?: route.priority) * TEAM_STEP + routeRank
        val patientOffset = if (isPatient(route)) PATIENT_RANK_OFFSET else 0
        return (rank + patientOffset).coerceIn(0, LOWEST_PRIORITY_RANK)
    }

    /** Returns the class by which VMs report to each other what is queued at an engine. */
    fun classOf(route: ServedRoute): PriorityClass = when {
        isPatient(route) -> PriorityClass.PATIENT
        route.priority == 0 -> PriorityClass.URGENT
        else -> PriorityClass.USUAL
    }

    private fun isPatient(route: ServedRoute) = route.targetLatencyMillis > PATIENT_TARGET_LATENCY_MILLIS
}
