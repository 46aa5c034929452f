package dev.bergamotwind.serving.placement

import dev.bergamotwind.serving.targets.TargetRecord

/** One order from its sending to its outcome, of which there is exactly one. Used on the serving loop. */
internal class OrderInFlight(
    val order: TargetOrder,
    /** Called right before the first byte of the order leaves this VM. */
    private val onLeaving: () -> Unit,
    private val onOutcome: (OrderInFlight, OrderOutcome) -> Unit,
) {
    private var isOver = false
    private var cancel: () -> Unit = {}

    /** True once a byte of the order may have left this VM. */
    var hasLeft = false
        private set

    /**
     * Sends the order to [target]. Connecting may take so long that [isPermitted] no longer holds, and the next holder
     * counts from the time at which the order leaves.
     */
    fun send(transport: OrderTransport, target: TargetRecord, isPermitted: () -> Boolean) {
        cancel = transport.sendOrder(target, order, { mayLeave(isPermitted) }, ::end)
    }

    /** Gives the order up: what has not left this VM never does. */
    fun giveUp() {
        cancel()
        end(if (hasLeft) OrderOutcome.UNKNOWN else OrderOutcome.NOT_SENT)
    }

    private fun mayLeave(isPermitted: () -> Boolean): Boolean {
        if (isOver || !isPermitted()) return false
        hasLeft = true
        onLeaving()
        return true
    }

    private fun end(outcome: OrderOutcome) {
        if (isOver) return
        isOver = true
        onOutcome(this, outcome)
    }
}
