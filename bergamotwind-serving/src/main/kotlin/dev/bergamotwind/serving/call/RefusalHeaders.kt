package dev.bergamotwind.serving.call

import dev.bergamotwind.api.Header

/** Provides the headers of refusals in the format of the listener that received the call. */
public fun interface RefusalHeaders {
    /** Returns the headers for [refusal] of [call]. */
    public fun headersFor(call: Call, refusal: Refusal): List<Header>
}
