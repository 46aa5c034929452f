package dev.bergamotwind.admission

import dev.bergamotwind.api.TeamId

/** Tokens reserved for one request of [team]; to be settled once at the [TeamRateLimiter] that returned it. */
public class RateReservation internal constructor(
    public val team: TeamId,
    internal val bucket: TokenBucket,
    internal val bucketReservation: TokenReservation,
)
