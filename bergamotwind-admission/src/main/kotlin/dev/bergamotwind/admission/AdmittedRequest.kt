package dev.bergamotwind.admission

import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.TeamId
import java.util.concurrent.atomic.AtomicBoolean

/** A request that may run now. It holds a concurrency permit and reserved tokens until it is settled. */
public class AdmittedRequest internal constructor(
    public val requestId: RequestId,
    public val team: TeamId?,
    internal val reservation: RateReservation?,
    internal val estimatedTokens: Long,
    internal val admittedNanos: Long,
    private val onSettle: (AdmittedRequest, Long) -> Unit,
) {
    private val settled = AtomicBoolean()

    /**
     * Frees the concurrency permit and settles the reserved tokens against [actualTokens], 0 if nothing ran. Only the
     * first call has an effect and returns true. Thread-safe and never refused.
     */
    public fun settle(actualTokens: Long): Boolean {
        if (!settled.compareAndSet(false, true)) return false
        onSettle(this, actualTokens)
        return true
    }
}
