package dev.bergamotwind.replay

/** What a [TraceRecord] says. */
public enum class TraceKind {
    /** A request arrives. */
    REQUEST,

    /** The failure domain [TraceRecord.subject] loses contact with the others. */
    CUT_DOMAIN,

    /** The engine [TraceRecord.subject] dies and comes back empty. */
    KILL_TARGET,

    /** Loads take [TraceRecord.outputTokens] times as long. */
    SLOW_STORE,
}
