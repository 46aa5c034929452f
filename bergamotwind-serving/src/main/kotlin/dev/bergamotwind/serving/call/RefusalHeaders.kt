package dev.bergamotwind.serving.call

import dev.bergamotwind.api.Header

/** Headers of a refusal in the words of the edge that received the call. */
public fun interface RefusalHeaders {
    /** Returns the headers for [refusal] of [call]. */
    public fun of(call: Call, refusal: Refusal): List<Header>
}
