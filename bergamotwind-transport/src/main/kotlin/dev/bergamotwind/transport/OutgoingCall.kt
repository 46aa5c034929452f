package dev.bergamotwind.transport

/** An outgoing request under way. Used on the event loop. */
public interface OutgoingCall {
    /** Ends the request by closing its connection; the listener hears nothing more. */
    public fun cancel()

    /** Stops or resumes reading the answer, so that a slow reader does not fill the heap. */
    public fun pause(paused: Boolean)
}
