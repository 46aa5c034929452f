package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId

/** Tokens reserved for one request of [team]; settle it once at the [RateShares] that gave it. */
public class RateReservation internal constructor(
    public val team: TeamId,
    internal val bucket: TokenBucket,
    internal val tokens: TokenReservation,
)
