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
 * Decides which team a request belongs to and what it may use, as of one [configuration]. Immutable: a new
 * configuration gets a new instance. Unknown items and items of other teams give the same refusal, so that a team
 * cannot find out what others have.
 */
public class KeyAuthenticator(
    private val configuration: OperatorConfiguration,
    private val monitor: InvariantMonitor,
    private val freshnessLimit: Duration = DEFAULT_FRESHNESS_LIMIT,
) {
    /**
     * Checks the values of all `Authorization` headers of a request for [subject]. [freshnessAge] is the time since
     * which this node may have missed configuration changes. A route that is open to all ignores credentials.
     */
    public fun authorize(
        authorization: List<String>,
        subject: AccessSubject,
        freshnessAge: Duration,
    ): Either<Failure, Access> {
        if (isOpen(subject)) return Access(null, null, route = (subject as AccessSubject.NamedRoute).id).right()
        return bearerKey(authorization).map(::keyDigest).flatMap { digest ->
            team(digest, freshnessAge).flatMap { team -> grant(team, digest, subject) }
        }.onRight(::checkIsolation)
    }

    /** Checks again that [access] holds, when a request leaves the queue, while it streams or after a change. */
    public fun recheck(access: Access, freshnessAge: Duration): Either<Failure, Unit> {
        val digest = access.digest ?: return openRoute(access)
        return team(digest, freshnessAge).flatMap { team ->
            when {
                team.id != access.team -> unknownKey().left()
                !mayUse(team, access) -> Failure.Forbidden("team ${team.id} may no longer use this item").left()
                else -> Unit.right()
            }
        }
    }

    private fun openRoute(access: Access): Either<Failure, Unit> =
        if (access.route?.let { configuration.routes[it] }?.open == true) {
            Unit.right()
        } else {
            Failure.Unauthenticated("the route is no longer open").left()
        }

    private fun isOpen(subject: AccessSubject): Boolean =
        subject is AccessSubject.NamedRoute && configuration.routes[subject.id]?.open == true

    private fun bearerKey(authorization: List<String>): Either<Failure, String> {
        val value = authorization.singleOrNull() ?: return Failure.Unauthenticated(
            if (authorization.isEmpty()) "no Authorization header" else "several Authorization headers",
        ).left()
        // RFC 9110 compares the scheme without case; the key is a token68, which excludes commas and blanks.
        val match = value.takeIf { it.length <= MAXIMUM_KEY_CHARACTERS + BEARER.length }?.let(HEADER::matchEntire)
            ?: return Failure.Unauthenticated("malformed or too long Authorization header").left()
        return match.groupValues[1].right()
    }

    private fun team(digest: KeyDigest, freshnessAge: Duration): Either<Failure, Team> {
        val key = configuration.keys[digest] ?: return unknownKey().left()
        val team = configuration.teams[key.team] ?: return unknownKey().left()
        val unconfirmed = freshnessAge > freshnessLimit
        return if (unconfirmed && team.unconfirmedKeys == UnconfirmedKeys.REFUSE) {
            Failure.Unavailable("the key cannot be confirmed", code = "key_unconfirmed").left()
        } else {
            team.right()
        }
    }

    private fun grant(team: Team, digest: KeyDigest, subject: AccessSubject): Either<Failure, Access> {
        val access = when (subject) {
            is AccessSubject.NamedModel -> {
                val parts = subject.name.split(ADAPTER_SEPARATOR, limit = 2)
                Access(team.id, digest, ModelId(parts[0]), parts.getOrNull(1)?.let(::AdapterId))
            }

            is AccessSubject.NamedRoute -> Access(team.id, digest, route = subject.id)

            AccessSubject.OwnTeam -> Access(team.id, digest)
        }
        return if (mayUse(team, access)) access.right() else Failure.Forbidden(refusal(team, subject)).left()
    }

    private fun mayUse(team: Team, access: Access): Boolean {
        val model = access.model
        val adapter = access.adapter
        val route = access.route
        return (model == null || (model in team.models && model in configuration.models)) &&
            (adapter == null || (adapter in team.adapters && configuration.adapters[adapter]?.model == model)) &&
            (route == null || (route in team.routes && route in configuration.routes))
    }

    private fun refusal(team: Team, subject: AccessSubject): String = when (subject) {
        is AccessSubject.NamedModel -> "team ${team.id} has no such model or adapter"
        is AccessSubject.NamedRoute -> "team ${team.id} has no such route"
        AccessSubject.OwnTeam -> "team ${team.id} may not do this"
    }

    private fun unknownKey() = Failure.Unauthenticated("the key is unknown or revoked")

    // Derives the team again from the digest, so that a fault in the path above shows.
    private fun checkIsolation(access: Access) {
        val owner = access.digest?.let { configuration.keys[it] }?.team
        val team = owner?.let { configuration.teams[it] }
        val holds = owner != null && owner == access.team && team != null &&
            (access.model == null || access.model in team.models) &&
            (access.adapter == null || access.adapter in team.adapters) &&
            (access.route == null || access.route in team.routes)
        monitor.check(Invariant.TEAM_ISOLATION, holds) { "key_team=$owner granted_team=${access.team}" }
    }

    private companion object {
        const val BEARER = "Bearer "
        const val ADAPTER_SEPARATOR = ':'
        val HEADER = Regex("(?i:bearer) ([A-Za-z0-9._~+/-]+=*)")
    }
}
