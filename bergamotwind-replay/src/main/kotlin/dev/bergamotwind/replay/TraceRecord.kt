package dev.bergamotwind.replay

/**
 * One line of a trace. For a request, [subject] is its team, [deadlineMillis] the time in which the whole answer is
 * needed and [prefix] names the prompt prefix. For a fault, [subject] is the affected component and [deadlineMillis]
 * its duration.
 */
public data class TraceRecord(
    val millis: Long,
    val kind: TraceKind,
    val subject: String,
    val region: String = "",
    val model: String = "",
    val adapter: String = "",
    val promptTokens: Int = 0,
    val outputTokens: Int = 0,
    val prefix: String = "",
    val deadlineMillis: Long = 0,
)
