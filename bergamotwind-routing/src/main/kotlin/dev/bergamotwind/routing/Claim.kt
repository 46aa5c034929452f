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

/** The right to send one non-idempotent call once. */
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

    /** Request that holds the claim. */
    public val request: RequestId get() = record.request

    /**
     * Must succeed before the first byte leaves. Fails as not run when the claim was released or is too old: a process
     * that was paused for longer than the retention of the record could otherwise send after another process claimed.
     */
    public fun beginSend(): Either<Failure, Unit> {
        val age = (clock.monotonicNanos() - claimedNanos).nanoseconds
        if (age > MAXIMUM_CLAIM_AGE_BEFORE_SEND) return Failure.Unavailable("the claim is $age old").left()
        if (progress.compareAndSet(Progress.HELD, Progress.SENDING)) return Unit.right()
        monitor.check(Invariant.AT_MOST_ONCE, progress.get() != Progress.SENDING) { "request=$request sent=again" }
        return Failure.Conflict("the claim of request $request was used or released").left()
    }

    /** The call sent under this claim has certainly not run, so it may be sent again or the claim released. */
    public fun notExecuted() {
        progress.compareAndSet(Progress.SENDING, Progress.HELD)
    }

    /** Ends the claim if nothing was sent under it. */
    internal fun endUnsent(): Boolean {
        val unsent = progress.compareAndSet(Progress.HELD, Progress.ENDED)
        monitor.check(Invariant.NOT_RUN_IS_TRUE, unsent || progress.get() == Progress.ENDED) {
            "request=$request released=after_send"
        }
        return unsent
    }
}
