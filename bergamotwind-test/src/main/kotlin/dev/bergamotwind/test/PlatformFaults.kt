package dev.bergamotwind.test

import kotlinx.serialization.Serializable

/**
 * Faults of a [PlatformServer], the body of `POST /faults`. With [unavailable], every call fails with status 503;
 * [delayMillis] is added to each call; [loseAnswers] is the probability that the connection of a write is closed
 * after the write took effect.
 */
@Serializable
public data class PlatformFaults(
    val unavailable: Boolean = false,
    val delayMillis: Long = 0,
    val loseAnswers: Double = 0.0,
)
