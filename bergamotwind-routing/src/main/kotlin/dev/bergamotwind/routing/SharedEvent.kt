package dev.bergamotwind.routing

import dev.bergamotwind.api.Failure

/** What a subscriber of a shared run reads next. */
public sealed interface SharedEvent<out E> {
    /** A part of the answer. */
    public data class Item<E>(val value: E) : SharedEvent<E>

    /** The answer was whole; nothing follows. */
    public data object End : SharedEvent<Nothing>

    /** The run failed, or this subscriber fell too far behind; nothing follows. */
    public data class Failed(val failure: Failure) : SharedEvent<Nothing>
}
