package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Team
import dev.bergamotwind.configuration.UnconfirmedKeys

/** `team put`. */
internal class PutTeamCommand : PutCommand("team") {
    private val rate by option("--rate", help = "Tokens per second over all nodes").long()
    private val burst by option("--burst", help = "Tokens over all nodes").long()
    private val weight by option("--weight", help = "Weight in the queue").int()
    private val models by names("--models", "Models that the team may use")
    private val adapters by names("--adapters", "Adapters that the team may use")
    private val routes by names("--routes", "Routes that the team may use")
    private val unconfirmedKeys by option(
        "--unconfirmed-keys",
        help = "What a node does while it cannot confirm that a key is still valid",
    ).choice("serve" to UnconfirmedKeys.SERVE, "refuse" to UnconfirmedKeys.REFUSE)

    override fun edit(now: OperatorConfiguration): ConfigurationEdit {
        val teamId = TeamId(id)
        val team = now.teams[teamId]
            ?: Team(teamId, Tokens(needed(rate, "--rate")), Tokens(needed(burst, "--burst")))
        return ConfigurationEdit.PutTeam(
            team.copy(
                ratePerSecond = rate?.let(::Tokens) ?: team.ratePerSecond,
                burst = burst?.let(::Tokens) ?: team.burst,
                weight = weight ?: team.weight,
                models = models?.map(::ModelId)?.toSet() ?: team.models,
                adapters = adapters?.map(::AdapterId)?.toSet() ?: team.adapters,
                routes = routes?.map(::RouteId)?.toSet() ?: team.routes,
                unconfirmedKeys = unconfirmedKeys ?: team.unconfirmedKeys,
            ),
        )
    }
}
