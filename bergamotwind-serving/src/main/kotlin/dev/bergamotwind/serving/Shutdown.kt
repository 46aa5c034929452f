package dev.bergamotwind.serving

/**
 * State of a graceful shutdown. First the VM reports that it is not ready while it keeps serving, so that the load
 * balancer sends new connections elsewhere; then idle connections are closed and new requests are refused. It ends with
 * the last request.
 */
internal class Shutdown(private val graceMillis: Long, private val loop: ServingLoop) {
    private val refuseAfterMillis = minOf(REFUSE_AFTER_MILLIS, graceMillis / REFUSE_AFTER_GRACE_DIVISOR)
    private var startedMillis: Long? = null

    /** True once the VM has been told to stop. */
    val isStopping: Boolean get() = startedMillis != null

    /** Milliseconds for which requests may still run, or null while the VM is not stopping. */
    val remainingMillis: Long? get() = startedMillis?.let { (graceMillis - ANSWER_MARGIN_MILLIS - elapsedMillis()) }

    /** True when idle connections must be closed. */
    val shouldCloseIdle: Boolean
        get() = isStopping && elapsedMillis() >= minOf(CLOSE_IDLE_AFTER_MILLIS, refuseAfterMillis)

    /** True when requests that no target has got yet are refused, because they may not complete in time. */
    val refusesNew: Boolean get() = isStopping && elapsedMillis() >= refuseAfterMillis

    fun begin() {
        if (startedMillis == null) startedMillis = loop.nowMillis()
    }

    /** Returns true when the process may exit; [isAnswering] tells whether a caller still waits for an answer's end. */
    fun mayExit(isAnswering: Boolean): Boolean =
        (refusesNew && !isAnswering) || (isStopping && elapsedMillis() >= graceMillis - EXIT_MARGIN_MILLIS)

    private fun elapsedMillis(): Long = startedMillis?.let { loop.nowMillis() - it } ?: 0
}
