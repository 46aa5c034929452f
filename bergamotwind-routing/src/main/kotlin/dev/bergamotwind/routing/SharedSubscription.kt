package dev.bergamotwind.routing

/** One caller's reading position in a [run]. [poll] and [close] are for one thread at a time. */
public class SharedSubscription<E : Any> internal constructor(
    /** The run that is read. */
    public val run: SharedRun<E>,
    /** Whether this subscriber started the run and has to send the request. */
    public val isFirst: Boolean,
    internal val available: () -> Unit,
) : AutoCloseable {
    internal var position = 0L

    /** Returns the next event, or null when there is none yet; then the notification given at joining follows. */
    public fun poll(): SharedEvent<E>? = run.poll(this)

    /** Ends reading. The run is cancelled when its last subscriber leaves before its end. */
    override fun close(): Unit = run.leave(this)
}
