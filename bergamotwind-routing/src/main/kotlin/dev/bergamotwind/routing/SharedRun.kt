package dev.bergamotwind.routing

import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome

/**
 * One run whose answer several callers read, each from its start. The fastest subscriber sets the pace: the producer
 * pauses while it has not read a full buffer. When the buffer is full, events that it has read are dropped; from then
 * on nobody can join, and a subscriber that has not read a dropped event is detached. Safe for use by several threads.
 */
public class SharedRun<E : Any> internal constructor(
    private val limitBytes: Int,
    private val sizeOf: (E) -> Int,
    private val closed: (SharedRun<E>) -> Unit,
) {
    private val events = ArrayDeque<E>()
    private val subscribers = LinkedHashSet<SharedSubscription<E>>()
    private var firstPosition = 0L
    private var bytes = 0L
    private var end: SharedEvent<Nothing>? = null
    private var cancelled = false
    private var onCancel: (() -> Unit)? = null
    private var onSpace: () -> Unit = {}

    /** Whether the producer should stop reading from the target until the action of [onSpace] is called. */
    public val isFull: Boolean @Synchronized get() = bytes > limitBytes

    /** Whether all subscribers left before the end; the producer should stop. */
    public val isCancelled: Boolean @Synchronized get() = cancelled

    /** Number of callers that read this run. */
    public val subscriberCount: Int @Synchronized get() = subscribers.size

    /** Calls [action] once when the last subscriber leaves before the end, at once if that has happened. */
    public fun onCancel(action: () -> Unit) {
        val now = synchronized(this) {
            if (!cancelled) onCancel = action
            cancelled
        }
        if (now) action()
    }

    /** Sets the [action] that is called on a subscriber's thread each time the buffer has space again. */
    public fun onSpace(action: () -> Unit) {
        synchronized(this) { onSpace = action }
    }

    /**
     * Adds a part of the answer; false when the producer should stop. Never waits for a subscriber. A producer that
     * goes on at twice the limit fails the run.
     */
    public fun publish(event: E): Boolean {
        val notified = synchronized(this) {
            if (cancelled || end != null) return false
            if (bytes > PRODUCER_LIMIT * limitBytes) return@synchronized null
            events.addLast(event)
            bytes += sizeOf(event)
            shrink()
            subscribers.toList()
        }
        notified?.forEach { it.available() } ?: fail(TOO_SLOW.failure)
        return notified != null
    }

    /** The answer is whole. */
    public fun finish(): Unit = end(SharedEvent.End)

    /** The run failed. */
    public fun fail(failure: Failure): Unit = end(SharedEvent.Failed(failure))

    internal fun join(available: () -> Unit, first: Boolean): SharedSubscription<E>? = synchronized(this) {
        if (cancelled || end != null || firstPosition > 0) return null
        SharedSubscription(this, first, available).also(subscribers::add)
    }

    internal fun poll(subscription: SharedSubscription<E>): SharedEvent<E>? {
        var space: (() -> Unit)? = null
        val event = synchronized(this) {
            if (subscription !in subscribers) return TOO_SLOW
            val index = (subscription.position - firstPosition).toInt()
            if (index >= events.size) return end
            subscription.position++
            SharedEvent.Item(events[index]).also {
                val wasFull = bytes > limitBytes
                shrink()
                if (wasFull && bytes <= limitBytes) space = onSpace
            }
        }
        space?.invoke()
        return event
    }

    internal fun leave(subscription: SharedSubscription<E>) {
        val action = synchronized(this) {
            if (!subscribers.remove(subscription) || subscribers.isNotEmpty() || end != null) return
            cancelled = true
            events.clear()
            onCancel
        }
        closed(this)
        action?.invoke()
    }

    private fun end(with: SharedEvent<Nothing>) {
        val notified = synchronized(this) {
            if (cancelled || end != null) return
            end = with
            subscribers.toList()
        }
        closed(this)
        notified.forEach { it.available() }
    }

    /** Drops the oldest events; of the subscribers, the slow ones lose their place, but never the fastest one. */
    private fun shrink() {
        if (bytes <= limitBytes) return
        val fastest = subscribers.maxOf { it.position }
        while (bytes > limitBytes && firstPosition < fastest) {
            bytes -= sizeOf(events.removeFirst())
            firstPosition++
        }
        subscribers.removeIf { it.position < firstPosition }
    }

    private companion object {
        const val PRODUCER_LIMIT = 2L
        val TOO_SLOW = SharedEvent.Failed(
            Failure.TargetFailed("the caller read the answer too slowly", RunOutcome.RUN),
        )
    }
}
