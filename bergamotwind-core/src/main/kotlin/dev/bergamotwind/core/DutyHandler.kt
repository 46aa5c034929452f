package dev.bergamotwind.core

/** The work of a [Duty]. Both functions run only on the duty's thread, so state kept here needs no locks. */
public interface DutyHandler<M : Any> {
    /** Handles one message. */
    public fun handle(message: M)

    /** Called at every tick interval; [nowNanos] is the duty's monotonic clock. */
    public fun tick(nowNanos: Long): Unit = Unit
}
