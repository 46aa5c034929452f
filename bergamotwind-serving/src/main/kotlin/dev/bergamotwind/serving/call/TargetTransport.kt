package dev.bergamotwind.serving.call

import dev.bergamotwind.serving.targets.TargetRecord

/** Sends requests to targets. */
public fun interface TargetTransport {
    /** Sends [request] to [target]. [listener] receives the response, never before this function returns. */
    public fun send(target: TargetRecord, request: TargetRequest, listener: AttemptListener): Attempt
}
