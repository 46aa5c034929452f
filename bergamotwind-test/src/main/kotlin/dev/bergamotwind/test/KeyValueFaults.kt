package dev.bergamotwind.test

import kotlin.time.Duration

/** Faults that a test injects into one client of an [InMemoryKeyValueService]. */
public class KeyValueFaults {
    /** If false, every call fails without effect. */
    @Volatile
    public var available: Boolean = true

    /** Decides for each write whether its response is lost after the write took effect. */
    @Volatile
    public var loseAnswer: () -> Boolean = { false }

    /** Delay added to every call. */
    @Volatile
    public var delay: Duration = Duration.ZERO
}
