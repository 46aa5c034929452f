package dev.bergamotwind.configuration

/** Number of equal floor shares into which each team's rate is divided; one for each entry VM. */
public const val DEFAULT_ENTRY_SLOTS: Int = 6
