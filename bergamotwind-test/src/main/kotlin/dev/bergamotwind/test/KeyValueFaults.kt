package dev.bergamotwind.test

import kotlin.time.Duration

/** Faults that a test switches on for one client of an [InMemoryKeyValueService]. */
public class KeyValueFaults {
    /** When false, every call fails without effect. */
    @Volatile
    public var available: Boolean = true

    /** Decides for each write whether its answer is lost after the write took effect. */
    @Volatile
    public var loseAnswer: () -> Boolean = { false }

    /** Time by which every call is late. */
    @Volatile
    public var delay: Duration = Duration.ZERO
}
