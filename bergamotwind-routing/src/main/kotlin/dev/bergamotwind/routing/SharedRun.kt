package dev.bergamotwind.routing

import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome

/**
 * One run whose answer several callers read, each from the beginning. The fastest subscriber determines the
 * backpressure: the producer pauses while that subscriber has a full buffer unread. When the buffer is full, events
 * that the fastest subscriber has read are evicted. From then on no caller can join, and a subscriber that has not read
 * an evicted event is detached. Thread-safe.
 */
public class SharedRun<E : Any> internal constructor(
    private val limitBytes: Int,
    private val sizeOf: (E) -> Int,
    private val onClosed: (SharedRun<E>) -> Unit,
) {
    private val buffer = ArrayDeque<E>()
    private val subscribers = LinkedHashSet<SharedRunSubscription<E>>()
    private var firstPosition = 0L
    private var bufferedBytes = 0L
    private var terminalEvent: SharedRunEvent<Nothing>? = null
    private var cancelled = false
    private var onCancel: (() -> Unit)? = null
    private var onSpaceAvailable: () -> Unit = {}

    /** Whether the producer should pause reading from the target until the action of [onSpaceAvailable] is called. */
    public val isFull: Boolean @Synchronized get() = bufferedBytes > limitBytes

    /** Whether all subscribers left before the run ended; the producer should stop. */
    public val isCancelled: Boolean @Synchronized get() = cancelled

    /** Number of callers that are subscribed to this run. */
    public val subscriberCount: Int @Synchronized get() = subscribers.size

    /** Calls [action] once when the last subscriber leaves before the run ends, or now if that has already happened. */
    public fun onCancel(action: () -> Unit) {
        val alreadyCancelled = synchronized(this) {
            if (!cancelled) onCancel = action
            cancelled
        }
        if (alreadyCancelled) action()
    }

    /** Sets the [action] that is called on a subscriber's thread each time a full buffer has space again. */
    public fun onSpaceAvailable(action: () -> Unit) {
        synchronized(this) { onSpaceAvailable = action }
    }

    /**
     * Adds a part of the answer; false when the producer should stop. Never blocks on a subscriber. A producer that
     * continues beyond twice the buffer limit makes the run fail.
     */
    public fun publish(event: E): Boolean {
        val notified = synchronized(this) {
            if (cancelled || terminalEvent != null) return false
            if (bufferedBytes > PRODUCER_LIMIT_FACTOR * limitBytes) return@synchronized null
            buffer.addLast(event)
            bufferedBytes += sizeOf(event)
            evictOldestEvents()
            subscribers.toList()
        }
        notified?.forEach { it.onAvailable() } ?: fail(TOO_SLOW_FAILURE.failure)
        return notified != null
    }

    /** Ends the run with a complete answer. */
    public fun finish(): Unit = endWith(SharedRunEvent.End)

    /** Ends the run with [failure]. */
    public fun fail(failure: Failure): Unit = endWith(SharedRunEvent.Failed(failure))

    internal fun join(onAvailable: () -> Unit, startedRun: Boolean): SharedRunSubscription<E>? = synchronized(this) {
        if (cancelled || terminalEvent != null || firstPosition > 0) return null
        SharedRunSubscription(this, startedRun, onAvailable).also(subscribers::add)
    }

    internal fun poll(subscription: SharedRunSubscription<E>): SharedRunEvent<E>? {
        var notifySpace: (() -> Unit)? = null
        val event = synchronized(this) {
            if (subscription !in subscribers) return TOO_SLOW_FAILURE
            val index = (subscription.position - firstPosition).toInt()
            if (index >= buffer.size) return terminalEvent
            subscription.position++
            SharedRunEvent.Item(buffer[index]).also {
                val wasFull = bufferedBytes > limitBytes
                evictOldestEvents()
                if (wasFull && bufferedBytes <= limitBytes) notifySpace = onSpaceAvailable
            }
        }
        notifySpace?.invoke()
        return event
    }

    internal fun unsubscribe(subscription: SharedRunSubscription<E>) {
        val action = synchronized(this) {
            if (!subscribers.remove(subscription) || subscribers.isNotEmpty() || terminalEvent != null) return
            cancelled = true
            buffer.clear()
            onCancel
        }
        onClosed(this)
        action?.invoke()
    }

    private fun endWith(event: SharedRunEvent<Nothing>) {
        val notified = synchronized(this) {
            if (cancelled || terminalEvent != null) return
            terminalEvent = event
            subscribers.toList()
        }
        onClosed(this)
        notified.forEach { it.onAvailable() }
    }

    /** Evicts the oldest events that the fastest subscriber has read; detaches subscribers that have not read them. */
    private fun evictOldestEvents() {
        if (bufferedBytes <= limitBytes) return
        val fastest = subscribers.maxOf { it.position }
        while (bufferedBytes > limitBytes && firstPosition < fastest) {
            bufferedBytes -= sizeOf(buffer.removeFirst())
            firstPosition++
        }
        subscribers.removeIf { it.position < firstPosition }
    }

    private companion object {
        const val PRODUCER_LIMIT_FACTOR = 2L
        val TOO_SLOW_FAILURE = SharedRunEvent.Failed(
            Failure.TargetFailed("the caller read the answer too slowly", RunOutcome.RUN),
        )
    }
}
