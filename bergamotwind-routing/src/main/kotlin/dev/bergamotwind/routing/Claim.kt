package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.Invariant
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.Revision
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.nanoseconds

/** Permission to send one non-idempotent call once. */
public class Claim internal constructor(
    internal val key: String,
    internal val record: ClaimRecord,
    internal val created: Revision,
    private val claimedNanos: Long,
    private val clock: Clock,
    private val monitor: InvariantMonitor,
) {
    private enum class Progress { HELD, SENDING, ENDED }

    private val progress = AtomicReference(Progress.HELD)

    /** Request for which the claim was made. */
    public val request: RequestId get() = record.request

    /**
     * Must succeed before the first byte is sent. Fails as not run when the claim was released or is too old: otherwise
     * a process that was paused for longer than the record is retained could send after another process has claimed.
     */
    public fun beginSend(): Either<Failure, Unit> {
        val age = (clock.monotonicNanos() - claimedNanos).nanoseconds
        if (age > MAXIMUM_CLAIM_AGE_BEFORE_SEND) return Failure.Unavailable("the claim is too old to send: $age").left()
        if (progress.compareAndSet(Progress.HELD, Progress.SENDING)) return Unit.right()
        monitor.check(Invariant.AT_MOST_ONCE, progress.get() != Progress.SENDING) { "request=$request sent=again" }
        return Failure.Conflict("the claim of request $request was used or released").left()
    }

    /** Records that the call was certainly not executed, so that it may be sent again or the claim released. */
    public fun markNotExecuted() {
        progress.compareAndSet(Progress.SENDING, Progress.HELD)
    }

    /** Ends the claim if nothing was sent under it; false otherwise. */
    internal fun endIfUnsent(): Boolean {
        val unsent = progress.compareAndSet(Progress.HELD, Progress.ENDED)
        monitor.check(Invariant.NOT_RUN_IS_TRUE, unsent || progress.get() == Progress.ENDED) {
            "request=$request released=after_send"
        }
        return unsent
    }
}
