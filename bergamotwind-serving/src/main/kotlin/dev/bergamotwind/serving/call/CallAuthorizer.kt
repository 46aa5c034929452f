package dev.bergamotwind.serving.call

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.catalogue.ServedRoute
import dev.bergamotwind.serving.catalogue.ServedTeam

/** Decides from the configuration alone whether a call may be served. Stateless. */
internal object CallAuthorizer {
    /** Returns the route and team of [call], or the reason why it is refused. */
    fun authorize(configuration: ServedConfiguration?, call: Call): Either<Refusal, AuthorizedCall> {
        val route = configuration?.route(call.host, call.pathOnly)
        val team = call.key?.let { configuration?.team(it) }
        return when {
            configuration == null ->
                Refusal(RefusalKind.UNAVAILABLE, "no configuration is known yet", NO_CONFIGURATION_RETRY_MILLIS).left()

            route == null -> Refusal(RefusalKind.NO_ROUTE, "no route for ${call.host}${call.pathOnly}").left()

            route.isOpen -> AuthorizedCall(route, null).right()

            team == null && configuration.teams != null ->
                Refusal(RefusalKind.UNAUTHENTICATED, "the key is missing or unknown").left()

            else -> AuthorizedCall(route, team).right()
        }
    }

    /** Returns the units that [call] consumes of the rate of [team]. */
    fun rateUnits(call: Call, team: ServedTeam): Double = when {
        !team.countsTokens -> 1.0
        call.modelRequest != null -> (call.modelRequest.promptTokens + call.modelRequest.outputLimitTokens).toDouble()
        else -> team.plainRequestUnits
    }

    /** Route and team of a call that may be served; the team is null on open routes and without configured teams. */
    internal class AuthorizedCall(val route: ServedRoute, val team: ServedTeam?)
}
