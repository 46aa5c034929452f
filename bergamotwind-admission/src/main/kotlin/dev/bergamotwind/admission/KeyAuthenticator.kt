package dev.bergamotwind.admission

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Team
import dev.bergamotwind.configuration.UnconfirmedKeys
import dev.bergamotwind.configuration.keyDigest
import kotlin.time.Duration

/**
 * Authenticates bearer keys and authorizes the use of models, adapters and routes according to one [configuration].
 * Immutable: a new configuration needs a new instance. Resources that do not exist and resources of other teams are
 * refused in the same way, so that a team cannot find out what other teams have.
 */
public class KeyAuthenticator(
    private val configuration: OperatorConfiguration,
    private val monitor: InvariantMonitor,
    private val freshnessLimit: Duration = DEFAULT_FRESHNESS_LIMIT,
) {
    /**
     * Authorizes a request for [resource]; [authorization] holds the values of all its `Authorization` headers.
     * [freshnessAge] is how long this node may have been missing configuration changes. Credentials are ignored on a
     * route that is open to all callers.
     */
    public fun authorize(
        authorization: List<String>,
        resource: RequestedResource,
        freshnessAge: Duration,
    ): Either<Failure, AccessGrant> {
        if (isOpenRoute(resource)) {
            return AccessGrant(null, null, route = (resource as RequestedResource.NamedRoute).id).right()
        }
        return bearerKey(authorization).map(::keyDigest).flatMap { digest ->
            authenticate(digest, freshnessAge).flatMap { team -> authorizeTeam(team, digest, resource) }
        }.onRight(::checkTeamIsolation)
    }

    /** Checks that [access] is still valid: when a request leaves the queue, while it streams or after a change. */
    public fun reauthorize(access: AccessGrant, freshnessAge: Duration): Either<Failure, Unit> {
        val digest = access.digest ?: return checkRouteStillOpen(access)
        return authenticate(digest, freshnessAge).flatMap { team ->
            when {
                team.id != access.team -> unknownKey().left()
                !mayUse(team, access) -> Failure.Forbidden("team ${team.id} may no longer use this resource").left()
                else -> Unit.right()
            }
        }
    }

    private fun checkRouteStillOpen(access: AccessGrant): Either<Failure, Unit> =
        if (access.route?.let { configuration.routes[it] }?.open == true) {
            Unit.right()
        } else {
            Failure.Unauthenticated("the route is no longer open").left()
        }

    private fun isOpenRoute(resource: RequestedResource): Boolean =
        resource is RequestedResource.NamedRoute && configuration.routes[resource.id]?.open == true

    private fun bearerKey(authorization: List<String>): Either<Failure, String> {
        val value = authorization.singleOrNull() ?: return Failure.Unauthenticated(
            if (authorization.isEmpty()) "no Authorization header" else "several Authorization headers",
        ).left()
        // RFC 9110: the scheme is case-insensitive; the key is a token68, which excludes commas and blanks.
        val match = value.takeIf { it.length <= MAXIMUM_KEY_CHARACTERS + BEARER_PREFIX.length }
            ?.let(BEARER_PATTERN::matchEntire)
            ?: return Failure.Unauthenticated("malformed or too long Authorization header").left()
        return match.groupValues[1].right()
    }

    private fun authenticate(digest: KeyDigest, freshnessAge: Duration): Either<Failure, Team> {
        val key = configuration.keys[digest] ?: return unknownKey().left()
        val team = configuration.teams[key.team] ?: return unknownKey().left()
        val unconfirmed = freshnessAge > freshnessLimit
        return if (unconfirmed && team.unconfirmedKeys == UnconfirmedKeys.REFUSE) {
            Failure.Unavailable("the key cannot be confirmed", code = "key_unconfirmed").left()
        } else {
            team.right()
        }
    }

    private fun authorizeTeam(
        team: Team,
        digest: KeyDigest,
        resource: RequestedResource,
    ): Either<Failure, AccessGrant> {
        val access = when (resource) {
            is RequestedResource.NamedModel -> {
                val parts = resource.name.split(ADAPTER_SEPARATOR, limit = 2)
                AccessGrant(team.id, digest, ModelId(parts[0]), parts.getOrNull(1)?.let(::AdapterId))
            }

            is RequestedResource.NamedRoute -> AccessGrant(team.id, digest, route = resource.id)

            RequestedResource.OwnTeam -> AccessGrant(team.id, digest)
        }
        return if (mayUse(team, access)) access.right() else Failure.Forbidden(forbiddenMessage(team, resource)).left()
    }

    private fun mayUse(team: Team, access: AccessGrant): Boolean {
        val model = access.model
        val adapter = access.adapter
        val route = access.route
        return (model == null || (model in team.models && model in configuration.models)) &&
            (adapter == null || (adapter in team.adapters && configuration.adapters[adapter]?.model == model)) &&
            (route == null || (route in team.routes && route in configuration.routes))
    }

    private fun forbiddenMessage(team: Team, resource: RequestedResource): String = when (resource) {
        is RequestedResource.NamedModel -> "team ${team.id} has no such model or adapter"
        is RequestedResource.NamedRoute -> "team ${team.id} has no such route"
        RequestedResource.OwnTeam -> "team ${team.id} may not do this"
    }

    private fun unknownKey() = Failure.Unauthenticated("the key is unknown or revoked")

    // Derives the team from the digest a second time, independently of the code above, to detect faults in it.
    private fun checkTeamIsolation(access: AccessGrant) {
        val owner = access.digest?.let { configuration.keys[it] }?.team
        val team = owner?.let { configuration.teams[it] }
        val isolated = owner != null && owner == access.team && team != null &&
            (access.model == null || access.model in team.models) &&
            (access.adapter == null || access.adapter in team.adapters) &&
            (access.route == null || access.route in team.routes)
        monitor.check(Invariant.TEAM_ISOLATION, isolated) { "key_team=$owner granted_team=${access.team}" }
    }

    private companion object {
        const val BEARER_PREFIX = "Bearer "
        const val ADAPTER_SEPARATOR = ':'
        val BEARER_PATTERN = Regex("(?i:bearer) ([A-Za-z0-9._~+/-]+=*)")
    }
}
