package dev.bergamotwind.transport

import dev.bergamotwind.api.CallerExchange
/** Receives the requests of a listener on the event loop. */
public fun interface IncomingHandler {
    /** Called once for each request; [exchange] takes its answer. */
    public fun handle(request: IncomingRequest, exchange: CallerExchange)
}
