package dev.bergamotwind.serving

/** Time and timers of the one thread on which an entry VM serves; tests use a manual one. */
public interface ServingLoop {
    /** Milliseconds from an arbitrary origin; never goes back, and may stand still while the VM is suspended. */
    public fun nowMillis(): Long

    /** Milliseconds since the Unix epoch; may jump either way, and goes on while the VM is suspended. */
    public fun wallMillis(): Long

    /** Runs [action] after [delayMillis]; the result cancels it. */
    public fun schedule(delayMillis: Long, action: () -> Unit): () -> Unit
}
