package dev.bergamotwind.test

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/**
 * Passes changes to [onChanges] in the order in which they were enqueued. Several threads may call [deliverPending] at
 * the same time; only one of them delivers, which keeps the order without a lock around [onChanges].
 */
internal class KeyValueWatch(
    private val matches: (String) -> Boolean,
    private val onChanges: (List<KeyValueChange>) -> Unit,
) {
    private val pending = ConcurrentLinkedQueue<List<KeyValueChange>>()
    private val deliveryRequests = AtomicInteger()

    fun enqueue(changes: List<KeyValueChange>) {
        changes.filter { matches(it.key) }.takeIf { it.isNotEmpty() }?.let(pending::add)
    }

    fun deliverPending() {
        if (deliveryRequests.getAndIncrement() > 0) return
        var unhandledRequests = 1
        while (unhandledRequests > 0) {
            generateSequence { pending.poll() }.forEach(onChanges)
            unhandledRequests = deliveryRequests.addAndGet(-unhandledRequests)
        }
    }
}
