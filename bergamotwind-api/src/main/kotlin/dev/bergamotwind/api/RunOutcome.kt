package dev.bergamotwind.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What is known about the execution of a request. Only the order of declaration is a permitted progression. */
@Serializable
public enum class RunOutcome(
    /** Name in error bodies. */
    public val label: String,
) {
    /** No byte of the request can have left for a target. */
    @SerialName("not_run")
    NOT_RUN("not_run"),

    /** A byte may have left for a target and no answer is known. */
    @SerialName("unknown")
    UNKNOWN("unknown"),

    /** A target has begun to answer. */
    @SerialName("run")
    RUN("run"),
}
