package dev.bergamotwind.test

import dev.bergamotwind.api.RequestId

/** A non-idempotent target that counts executions per key, and the requests that were answered as not run. */
public class ExecutionLedger {
    private val runs = mutableMapOf<String, MutableList<RequestId>>()
    private val notRun = mutableSetOf<RequestId>()

    /** Number of keys that ran. */
    public val size: Int get() = runs.size

    /** [request] ran for [key]. */
    public fun ran(key: String, request: RequestId) {
        runs.getOrPut(key, ::mutableListOf) += request
    }

    /** The caller of [request] was told that it has not run. */
    public fun answeredNotRun(request: RequestId) {
        notRun += request
    }

    /** Fails if a key ran twice or a request ran that was answered as not run. */
    public fun verify() {
        val twice = runs.filterValues { it.size > 1 }
        check(twice.isEmpty()) { "ran more than once: $twice" }
        val untrue = runs.values.flatten().filter { it in notRun }
        check(untrue.isEmpty()) { "answered as not run but ran: $untrue" }
    }
}
