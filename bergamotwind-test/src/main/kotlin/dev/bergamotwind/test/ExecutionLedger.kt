package dev.bergamotwind.test

import dev.bergamotwind.api.RequestId

/** Records the executions of a non-idempotent target by key, and the requests that were reported as not run. */
public class ExecutionLedger {
    private val executions = mutableMapOf<String, MutableList<RequestId>>()
    private val notRun = mutableSetOf<RequestId>()

    /** Number of keys with at least one execution. */
    public val size: Int get() = executions.size

    /** Records that [request] was executed for [key]. */
    public fun recordExecution(key: String, request: RequestId) {
        executions.getOrPut(key, ::mutableListOf) += request
    }

    /** Records that the client of [request] was told that it has not run. */
    public fun recordNotRun(request: RequestId) {
        notRun += request
    }

    /** Fails if a key was executed more than once or a request that was reported as not run was executed. */
    public fun verify() {
        val repeated = executions.filterValues { it.size > 1 }
        check(repeated.isEmpty()) { "executed more than once: $repeated" }
        val misreported = executions.values.flatten().filter { it in notRun }
        check(misreported.isEmpty()) { "reported as not run but executed: $misreported" }
    }
}
