package dev.bergamotwind.api

/** Source of time for decision code; tests use a manual one. */
public interface Clock {
    /** Nanoseconds from an arbitrary origin; never goes back and does not follow changes of the wall clock. */
    public fun monotonicNanos(): Long

    /** Milliseconds since the Unix epoch; may jump. For display and the time line only. */
    public fun wallMillis(): Long
}
