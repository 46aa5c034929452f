package dev.bergamotwind.test

import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor

/** Fails the test at the first invariant violation. */
public object ThrowingInvariantMonitor : InvariantMonitor {
    override fun check(invariant: Invariant, holds: Boolean, detail: () -> String) {
        if (!holds) throw AssertionError("${invariant.name}: ${detail()}")
    }
}
