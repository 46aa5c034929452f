package dev.bergamotwind.core

import kotlinx.serialization.Serializable

/** A transition as written in a state-chart file. */
@Serializable
internal data class TransitionFile(val from: String, val event: String, val to: String)
