package dev.bergamotwind.routing

import dev.bergamotwind.api.Failure

/** What the node does in response to one event of a model stream. */
public sealed interface StreamAction {
    /** Send an event with [data] to the caller. */
    public data class Deliver(val data: String) : StreamAction

    /** Send nothing: the caller has this content already, or it belongs to another attempt. */
    public data object Drop : StreamAction

    /** Send the terminal event; the answer is complete. */
    public data object Finish : StreamAction

    /** The attempt has failed; resume at another target or end the caller's stream with an error event. */
    public data class Fail(val failure: Failure) : StreamAction
}
