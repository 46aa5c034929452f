package dev.bergamotwind.routing

import dev.bergamotwind.api.RunOutcome

/** A state of the state chart `request.toml` with the run outcome that it implies. */
public enum class RequestState(
    /** What is known in this state about whether the request has run. */
    public val outcome: RunOutcome,
) {
    /** Received from the caller. */
    RECEIVED(RunOutcome.NOT_RUN),

    /** Waits in the fair queue. */
    QUEUED(RunOutcome.NOT_RUN),

    /** A claim was made, and nothing has been sent. */
    CLAIMED(RunOutcome.NOT_RUN),

    /** A byte may have been sent to a target. */
    SENDING(RunOutcome.UNKNOWN),

    /** A target has begun to answer. */
    ANSWERING(RunOutcome.RUN),

    /** Ended without being sent. */
    REFUSED(RunOutcome.NOT_RUN),

    /** Ended after it may have been sent, without any answer. */
    UNKNOWN(RunOutcome.UNKNOWN),

    /** Ended with the whole answer. */
    ANSWERED(RunOutcome.RUN),

    /** Ended after a part of the answer. */
    INTERRUPTED(RunOutcome.RUN),
    ;

    internal companion object {
        private val byName = entries.associateBy { it.name.lowercase() }

        fun ofChartState(name: String): RequestState = byName.getValue(name)
    }
}
