package dev.bergamotwind.serving.call

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedTeam

/** Decides by configuration alone whether a call may be served. Pure. */
internal object CallAuthorizer {
    /** Returns the route and team of [call], or why it is refused. */
    fun check(configuration: ServedConfiguration?, call: Call): Either<Refusal, Passed> {
        val route = configuration?.route(call.host, call.pathOnly)
        val team = call.key?.let { configuration?.team(it) }
        return when {
            configuration == null ->
                Refusal(RefusalKind.UNAVAILABLE, "no configuration is known yet", NO_CONFIGURATION_RETRY_MILLIS).left()

            route == null -> Refusal(RefusalKind.NO_ROUTE, "no route for ${call.host}${call.pathOnly}").left()

            route.isOpen -> Passed(route, null).right()

            team == null && configuration.teams != null ->
                Refusal(RefusalKind.UNAUTHENTICATED, "the key is missing or unknown").left()

            else -> Passed(route, team).right()
        }
    }

    /** Units of its team's rate that [call] uses. */
    fun units(call: Call, team: ServedTeam): Double = when {
        !team.countsTokens -> 1.0
        call.work != null -> (call.work.promptTokens + call.work.outputLimitTokens).toDouble()
        else -> team.plainRequestUnits
    }

    /** A call that may be served. */
    internal class Passed(val route: ServedRoute, val team: ServedTeam?)
}
