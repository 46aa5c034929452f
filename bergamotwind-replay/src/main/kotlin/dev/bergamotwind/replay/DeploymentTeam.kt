package dev.bergamotwind.replay

import kotlinx.serialization.Serializable

/** A team with its [share] of the requests and its rate in tokens a second. */
@Serializable
public data class DeploymentTeam(val name: String, val share: Double, val ratePerSecond: Long)
