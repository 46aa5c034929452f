package dev.bergamotwind.routing

import java.util.concurrent.ConcurrentHashMap

/**
 * Coalesces identical idempotent requests of one team that are in flight at this node into one run. The key contains
 * the team, so an answer never reaches another team. Thread-safe.
 */
public class SharedRuns<E : Any>(
    private val sizeOf: (E) -> Int,
    private val limitBytes: Int = SHARED_RUN_LIMIT_BYTES,
) {
    private val runs = ConcurrentHashMap<SharedRunKey, SharedRun<E>>()

    /** Number of registered runs, which identical requests may join. */
    public val size: Int get() = runs.size

    /**
     * Joins the run with [key] or starts one; the subscriber that started it must send the request and publish the
     * answer. [onAvailable] is called on the producer's thread whenever there is an event to read; it must not block.
     */
    public fun join(key: SharedRunKey, onAvailable: () -> Unit): SharedRunSubscription<E> {
        var joined: SharedRunSubscription<E>? = null
        runs.compute(key) { _, existing ->
            joined = existing?.join(onAvailable, startedRun = false)
            if (joined != null) existing else startRun(key).also { joined = it.join(onAvailable, startedRun = true) }
        }
        return checkNotNull(joined) { "a new run can always be joined" }
    }

    private fun startRun(key: SharedRunKey) = SharedRun(limitBytes, sizeOf) { runs.remove(key, it) }
}
