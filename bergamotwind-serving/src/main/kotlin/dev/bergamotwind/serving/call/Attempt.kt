package dev.bergamotwind.serving.call

/** A request in flight to a target. */
public interface Attempt {
    /** Aborts the request so that the target stops working on it. The listener receives no further callbacks. */
    public fun cancel()

    /** Pauses or resumes reading the response. */
    public fun pauseReading(paused: Boolean)
}
