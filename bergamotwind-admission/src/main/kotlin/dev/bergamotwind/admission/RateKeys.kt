package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId

/** Keys of the slot and unit records in the key-value service. */
internal object RateKeys {
    const val SLOT_PREFIX = "/bergamotwind/rate/slot/"
    const val UNIT_PREFIX = "/bergamotwind/rate/unit/"

    /** Written by every change that acquires or grows a share, so that two of them cannot use the same remainder. */
    const val SLOT_GUARD_KEY = "/bergamotwind/rate/slot-guard"

    fun slotKey(number: Int): String = SLOT_PREFIX + number

    fun unitPrefix(team: TeamId): String = "$UNIT_PREFIX$team/"

    fun unitKey(team: TeamId, number: Int): String = unitPrefix(team) + number

    /** The slot or unit number at the end of [key], or null when the key has none. */
    fun numberOf(key: String): Int? = key.substringAfterLast('/').toIntOrNull()
}
