package dev.bergamotwind.serving

/**
 * A graceful stop: the VM first turns unready while it goes on serving, so that the balancer sends new connections
 * elsewhere; then idle connections are closed and new requests are refused; it ends when the last request has.
 */
internal class Shutdown(private val graceMillis: Long, private val loop: ServingLoop) {
    private var startedMillis: Long? = null

    /** True once the VM has been told to stop. */
    val isStopping: Boolean get() = startedMillis != null

    /** Milliseconds for which requests may still run, or null while the VM is not stopping. */
    val remainingMillis: Long? get() = startedMillis?.let { (graceMillis - ANSWER_MARGIN_MILLIS - elapsed()) }

    /** True when idle connections are to be closed. */
    val closesIdle: Boolean get() = elapsed() >= CLOSE_IDLE_AFTER_MILLIS

    /** True when requests that arrive now are refused, because they may not end in time. */
    val refusesNew: Boolean get() = elapsed() >= REFUSE_AFTER_MILLIS

    fun begin() {
        if (startedMillis == null) startedMillis = loop.nowMillis()
    }

    /** True when the process may end with [activeRequests] under way. */
    fun mayEnd(activeRequests: Int): Boolean =
        (activeRequests == 0 && elapsed() >= REFUSE_AFTER_MILLIS) || elapsed() >= graceMillis - END_MARGIN_MILLIS

    private fun elapsed(): Long = startedMillis?.let { loop.nowMillis() - it } ?: 0
}
