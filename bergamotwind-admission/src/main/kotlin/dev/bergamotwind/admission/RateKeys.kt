package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId

/** Keys of the rate ledger in the key-value service. */
internal object RateKeys {
    const val SLOTS = "/bergamotwind/rate/slot/"
    const val UNITS = "/bergamotwind/rate/unit/"

    /** Changes whenever a slot share is taken or grows, so that two such changes cannot both count on the same rest. */
    const val SLOT_GUARD = "/bergamotwind/rate/slot-guard"

    fun slot(number: Int): String = SLOTS + number

    fun units(team: TeamId): String = "$UNITS$team/"

    fun unit(team: TeamId, number: Int): String = units(team) + number

    /** Number at the end of [key], or null for a foreign key. */
    fun number(key: String): Int? = key.substringAfterLast('/').toIntOrNull()
}
