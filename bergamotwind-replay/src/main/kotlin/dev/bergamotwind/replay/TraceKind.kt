package dev.bergamotwind.replay

/** Kind of event that a [TraceRecord] describes. */
public enum class TraceKind {
    /** A request arrives. */
    REQUEST,

    /** The failure domain [TraceRecord.subject] is partitioned from the others. */
    CUT_DOMAIN,

    /** The engine [TraceRecord.subject] crashes and restarts without artifacts. */
    KILL_TARGET,

    /** Loads take [TraceRecord.outputTokens] times as long. */
    SLOW_STORE,
}
