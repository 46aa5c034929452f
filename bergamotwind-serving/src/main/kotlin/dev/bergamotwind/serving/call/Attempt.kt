package dev.bergamotwind.serving.call

/** An attempt under way. */
public interface Attempt {
    /** Ends the attempt so that the target stops work; the listener hears nothing more. */
    public fun cancel()

    /** Stops or resumes reading the answer. */
    public fun pause(paused: Boolean)
}
