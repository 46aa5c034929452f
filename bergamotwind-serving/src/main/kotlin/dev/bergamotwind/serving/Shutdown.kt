package dev.bergamotwind.serving

/**
 * State of a graceful shutdown. First the VM reports that it is not ready while it keeps serving, so that the load
 * balancer sends new connections elsewhere; then idle connections are closed and new requests are refused. It ends with
 * the last request.
 */
internal class Shutdown(private val graceMillis: Long, private val loop: ServingLoop) {
    private var startedMillis: Long? = null

    /** True once the VM has been told to stop. */
    val isStopping: Boolean get() = startedMillis != null

    /** Milliseconds for which requests may still run, or null while the VM is not stopping. */
    val remainingMillis: Long? get() = startedMillis?.let { (graceMillis - ANSWER_MARGIN_MILLIS - elapsedMillis()) }

    /** True when idle connections must be closed. */
    val shouldCloseIdle: Boolean get() = elapsedMillis() >= CLOSE_IDLE_AFTER_MILLIS

    /** True when arriving requests are refused, because they may not complete in time. */
    val refusesNew: Boolean get() = elapsedMillis() >= REFUSE_AFTER_MILLIS

    fun begin() {
        if (startedMillis == null) startedMillis = loop.nowMillis()
    }

    /** Returns true when the process may exit while [activeRequests] are running. */
    fun mayExit(activeRequests: Int): Boolean = (activeRequests == 0 && elapsedMillis() >= REFUSE_AFTER_MILLIS) ||
        elapsedMillis() >= graceMillis - EXIT_MARGIN_MILLIS

    private fun elapsedMillis(): Long = startedMillis?.let { loop.nowMillis() - it } ?: 0
}
