package dev.bergamotwind.serving.placement

import dev.bergamotwind.serving.targets.TargetRecord

/** Carries orders to engines. Replies arrive on the serving loop, exactly once. */
public interface OrderTransport {
    /** Asks [target] about itself; replies with null when no answer came. */
    public fun report(target: TargetRecord, reply: (TargetReport?) -> Unit)

    /**
     * Sends [order] to [target], unless [isPermitted] says right before it leaves that the permission to give it has
     * ended; it then counts as not sent.
     */
    public fun order(
        target: TargetRecord,
        order: TargetOrder,
        isPermitted: () -> Boolean,
        reply: (OrderOutcome) -> Unit,
    )
}
