package dev.bergamotwind.replay

import kotlinx.serialization.Serializable

/**
 * Outcome of one replay. Attainment is the part of a team's requests, without those above its rate, that was answered
 * wholly and in time. [moves] counts model loads after the start.
 */
@Serializable
public data class ReplayResult(
    val deployment: String,
    val policy: String,
    val seed: Long,
    val requests: Int,
    val answeredInTime: Int,
    val attainmentPerAccelerator: Double,
    val moves: Int,
    val worstTeamAttainment: Double,
    val medianTeamAttainment: Double,
    val refusedInsideRate: Int,
    val refusedInsideRatePart: Double,
    val tokens: Long,
    val crossRegionBytes: Long,
    val memoryOvercommitted: Int,
)
