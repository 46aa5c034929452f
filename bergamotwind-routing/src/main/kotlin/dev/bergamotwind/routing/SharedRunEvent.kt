package dev.bergamotwind.routing

import dev.bergamotwind.api.Failure

/** One event that a subscriber of a shared run reads. */
public sealed interface SharedRunEvent<out E> {
    /** A part of the answer. */
    public data class Item<E>(val value: E) : SharedRunEvent<E>

    /** The answer is complete; no event follows. */
    public data object End : SharedRunEvent<Nothing>

    /** The run failed, or this subscriber fell too far behind; no event follows. */
    public data class Failed(val failure: Failure) : SharedRunEvent<Nothing>
}
