package dev.bergamotwind.cli

import com.github.ajalt.clikt.core.CliktCommand
import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.configuration.Adapter
import dev.bergamotwind.configuration.ApiKey
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.FailureDomain
import dev.bergamotwind.configuration.Model
import dev.bergamotwind.configuration.Route
import dev.bergamotwind.configuration.Target
import dev.bergamotwind.configuration.Team

/** The commands for the items of the configuration. */
internal fun itemCommands(): List<CliktCommand> = listOf(
    CommandGroup("team", "Teams, their rates and what they may use.", teamCommands()),
    CommandGroup("key", "Keys of teams. Only digests are stored.", keyCommands()),
    CommandGroup("model", "Models.", modelCommands()),
    CommandGroup("adapter", "Adapters of models.", adapterCommands()),
    CommandGroup("route", "Routes to plain services.", routeCommands()),
    CommandGroup("target", "Targets: model engines and replicas of plain services.", targetCommands()),
    CommandGroup("domain", "Failure domains.", domainCommands()),
)

private fun teamCommands() = listOf(
    ListCommand("team") { now -> now.teams.values.map { lineOf(Team.serializer(), it) } },
    PutTeamCommand(),
    RemoveCommand("team", "Removes a team and revokes its keys.") { ConfigurationEdit.RemoveTeam(TeamId(it)) },
)

private fun keyCommands() = listOf(
    ListCommand("key") { now -> now.keys.values.map { lineOf(ApiKey.serializer(), it) } },
    CreateKeyCommand(),
    PutKeyCommand(),
    RevokeKeyCommand("revoke"),
    RevokeKeyCommand("remove"),
)

private fun modelCommands() = listOf(
    ListCommand("model") { now -> now.models.values.map { lineOf(Model.serializer(), it) } },
    PutModelCommand(),
    RemoveCommand("model", "Removes a model that no adapter and no team uses.") {
        ConfigurationEdit.RemoveModel(ModelId(it))
    },
)

private fun adapterCommands() = listOf(
    ListCommand("adapter") { now -> now.adapters.values.map { lineOf(Adapter.serializer(), it) } },
    PutAdapterCommand(),
    RemoveCommand("adapter", "Removes an adapter that no team uses.") {
        ConfigurationEdit.RemoveAdapter(AdapterId(it))
    },
)

private fun routeCommands() = listOf(
    ListCommand("route") { now -> now.routes.values.map { lineOf(Route.serializer(), it) } },
    PutRouteCommand(),
    RemoveCommand("route", "Removes a route that no target serves and no team uses.") {
        ConfigurationEdit.RemoveRoute(RouteId(it))
    },
)

private fun targetCommands() = listOf(
    ListCommand("target") { now -> now.targets.values.map { lineOf(Target.serializer(), it) } },
    PutTargetCommand(),
    RemoveCommand("target", "Removes a target.") { ConfigurationEdit.RemoveTarget(TargetId(it)) },
)

private fun domainCommands() = listOf(
    ListCommand("failure domain") { now -> now.failureDomains.values.map { lineOf(FailureDomain.serializer(), it) } },
    PutDomainCommand(),
    RemoveCommand("failure domain", "Removes a failure domain that no target is in.") {
        ConfigurationEdit.RemoveFailureDomain(FailureDomainId(it))
    },
)
