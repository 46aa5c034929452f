package dev.bergamotwind.routing

import dev.bergamotwind.api.Failure

/** What to do with one event of a model stream. */
public sealed interface StreamStep {
    /** Send an event with [data] to the caller. */
    public data class Deliver(val data: String) : StreamStep

    /** Send nothing: the caller has this already, or it belongs to another attempt. */
    public data object Drop : StreamStep

    /** Send the terminal event; the answer is whole. */
    public data object Finish : StreamStep

    /** The attempt is broken; resume at another target or end the caller's stream with an error event. */
    public data class Broken(val failure: Failure) : StreamStep
}
