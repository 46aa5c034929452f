package dev.bergamotwind.test

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/**
 * Passes changes to [sink] in the order of [offer]. [drain] may be called by several threads; one of them delivers,
 * so the order holds without a lock around [sink].
 */
internal class KeyValueWatch(
    private val matches: (String) -> Boolean,
    private val sink: (List<KeyValueChange>) -> Unit,
) {
    private val waiting = ConcurrentLinkedQueue<List<KeyValueChange>>()
    private val drains = AtomicInteger()

    fun offer(changes: List<KeyValueChange>) {
        changes.filter { matches(it.key) }.takeIf { it.isNotEmpty() }?.let(waiting::add)
    }

    fun drain() {
        if (drains.getAndIncrement() > 0) return
        var missed = 1
        while (missed > 0) {
            generateSequence { waiting.poll() }.forEach(sink)
            missed = drains.addAndGet(-missed)
        }
    }
}
