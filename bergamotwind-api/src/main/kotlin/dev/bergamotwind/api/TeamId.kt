package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Identifies a team, the unit to which keys, rates and permissions belong. */
@Serializable
@JvmInline
public value class TeamId(public val value: String) : Comparable<TeamId> {
    override fun compareTo(other: TeamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
