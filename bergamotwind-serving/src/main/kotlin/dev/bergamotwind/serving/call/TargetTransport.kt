package dev.bergamotwind.serving.call

import dev.bergamotwind.serving.targets.TargetRecord

/** Carries attempts to targets. */
public interface TargetTransport {
    /** Sends [request] to [target]; [listener] hears what becomes of it, never before this returns. */
    public fun send(target: TargetRecord, request: TargetRequest, listener: AttemptListener): Attempt
}
