package dev.bergamotwind.serving.peer

import kotlinx.serialization.Serializable

/** Demand for one model. */
@Serializable
public data class ModelDemand(
    /** Requests that wait because no target holds the model. */
    val waiting: Int = 0,
    /** Milliseconds of an engine's time that is asked for each second. */
    val workPerSecond: Int = 0,
) {
    /** Returns the sum. */
    public operator fun plus(other: ModelDemand): ModelDemand =
        ModelDemand(waiting + other.waiting, workPerSecond + other.workPerSecond)
}
