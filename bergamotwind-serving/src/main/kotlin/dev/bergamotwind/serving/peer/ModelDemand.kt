package dev.bergamotwind.serving.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Demand for one model. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ModelDemand(
    /** Number of requests that wait because no target holds the model. */
    @CborLabel(0)
    val waiting: Int = 0,
    /** Milliseconds of an engine's time requested each second. */
    @CborLabel(1)
    val workPerSecond: Int = 0,
) {
    /** Returns the sum. */
    public operator fun plus(other: ModelDemand): ModelDemand =
        ModelDemand(waiting + other.waiting, workPerSecond + other.workPerSecond)
}
