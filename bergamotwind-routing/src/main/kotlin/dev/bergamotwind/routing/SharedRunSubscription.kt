package dev.bergamotwind.routing

/** A caller's subscription to a [run], with its read position. [poll] and [close] must not be called concurrently. */
public class SharedRunSubscription<E : Any> internal constructor(
    /** The run that this subscription reads. */
    public val run: SharedRun<E>,
    /** Whether this subscriber started the run and must send the request. */
    public val startedRun: Boolean,
    internal val onAvailable: () -> Unit,
) : AutoCloseable {
    internal var position = 0L

    /**
     * Returns the next event, or null when there is none yet; the callback of [SharedRuns.join] announces the next one.
     */
    public fun poll(): SharedRunEvent<E>? = run.poll(this)

    /** Unsubscribes. The run is cancelled when its last subscriber unsubscribes before the run has ended. */
    override fun close(): Unit = run.unsubscribe(this)
}
