package dev.bergamotwind.serving.catalogue

import dev.bergamotwind.api.ServiceId

/** One version of the operators' configuration, with the lookups that requests need. */
public class ServedConfiguration(
    /** Version number assigned by operators; larger is newer. */
    public val version: Long,
    /** Routes in any order. */
    public val routes: List<ServedRoute>,
    /** Services by id. */
    public val services: Map<ServiceId, ServedService>,
    /** Teams; null when requests need no keys. */
    public val teams: List<ServedTeam>?,
    /** Limits for callers; null keeps the defaults of the listener. */
    public val limits: CallerLimits?,
) {
    private val routesByHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, list) -> list.sortedByDescending { it.prefix.length } }
    private val teamsByKey = buildMap {
        teams?.forEach { team -> team.keys.forEach { put(it, team) } }
    }

    /** Returns the route of [host] with the longest prefix that matches [path], or null. */
    public fun route(host: String, path: String): ServedRoute? =
        routesByHost[host.lowercase().substringBefore(':')]?.firstOrNull { path.startsWith(it.prefix) }

    /** Returns the team that owns [key], or null. */
    public fun team(key: String): ServedTeam? = teamsByKey[key]
}
