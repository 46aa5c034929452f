package dev.bergamotwind.routing

import java.util.concurrent.ConcurrentHashMap

/**
 * Lets identical idempotent requests of one team that are in flight at this node share one run. The key holds the
 * team, so an answer never reaches another team. Safe for use by several threads.
 */
public class SharedRuns<E : Any>(
    private val sizeOf: (E) -> Int,
    private val limitBytes: Int = SHARED_RUN_LIMIT_BYTES,
) {
    private val runs = ConcurrentHashMap<SharedRunKey, SharedRun<E>>()

    /** Runs that can be joined. */
    public val size: Int get() = runs.size

    /**
     * Joins the run with [key] or starts one; the subscriber that started it must send the request and publish the
     * answer. [available] is called on the producer's thread whenever there is something to read; it must not block.
     */
    public fun join(key: SharedRunKey, available: () -> Unit): SharedSubscription<E> {
        var joined: SharedSubscription<E>? = null
        runs.compute(key) { _, existing ->
            joined = existing?.join(available, first = false)
            if (joined != null) existing else started(key).also { joined = it.join(available, first = true) }
        }
        return checkNotNull(joined) { "a new run can always be joined" }
    }

    private fun started(key: SharedRunKey) = SharedRun(limitBytes, sizeOf) { runs.remove(key, it) }
}
