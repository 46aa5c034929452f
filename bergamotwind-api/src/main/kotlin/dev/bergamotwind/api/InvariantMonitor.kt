package dev.bergamotwind.api

/** Checks invariants in production code and reports each violation. */
public interface InvariantMonitor {
    /** Reports a violation of [invariant] unless [holds]; [detail] is evaluated only on a violation. */
    public fun check(invariant: Invariant, holds: Boolean, detail: () -> String)
}
