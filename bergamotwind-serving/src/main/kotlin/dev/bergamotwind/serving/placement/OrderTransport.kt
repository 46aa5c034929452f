package dev.bergamotwind.serving.placement

import dev.bergamotwind.serving.targets.TargetRecord
import dev.bergamotwind.serving.targets.TargetStatement

/** Sends orders to engines. Replies arrive on the serving loop, exactly once. */
public interface OrderTransport {
    /**
     * Called when the head of an answer has arrived, with the target, what it states about itself there, and the time
     * in milliseconds at which the order or the request for a report was sent.
     */
    public var onStatement: ((TargetRecord, TargetStatement, sentMillis: Long) -> Unit)?

    /** Asks [target] for a report; replies with null when no answer came. */
    public fun requestReport(target: TargetRecord, reply: (TargetReport?) -> Unit)

    /**
     * Sends [order] to [target]. [isPermitted] is checked right before sending; when it returns false, the order counts
     * as not sent. Calling the result gives the order up without a reply. An order that is given up, or stays without
     * an answer, does not leave this VM any more; what has left it may still arrive.
     */
    public fun sendOrder(
        target: TargetRecord,
        order: TargetOrder,
        isPermitted: () -> Boolean,
        reply: (OrderOutcome) -> Unit,
    ): () -> Unit
}
