package dev.bergamotwind.serving

/** Clock and timers of the single thread on which an entry VM serves; tests use a manual one. */
public interface ServingLoop {
    /**
     * Returns milliseconds from an arbitrary origin; never goes back, and may stand still while the VM is suspended.
     */
    public fun nowMillis(): Long

    /**
     * Returns milliseconds since the Unix epoch; may jump in both directions, and advances while the VM is suspended.
     */
    public fun wallMillis(): Long

    /** Runs [action] after [delayMillis]; calling the result cancels it. */
    public fun schedule(delayMillis: Long, action: () -> Unit): () -> Unit
}
