package dev.bergamotwind.transport

import dev.bergamotwind.api.Header
/** A request whose head and body have been read whole. [path] is the request target as received. */
public class IncomingRequest(
    /** Method as received. */
    public val method: String,
    /** Path and query as received, not decoded and not normalised. */
    public val path: String,
    /** Headers in the order received. */
    public val headers: List<Header>,
    /** Body without its framing. */
    public val body: ByteArray,
)
