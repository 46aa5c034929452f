package dev.bergamotwind.serving.targets

/** What one attempt adds to the load of its target, from its sending to its end. */
public class AttemptLoad internal constructor(
    internal val sentMillis: Long,
    /** Milliseconds from sending to the first event that were predicted. */
    internal val predictedMillis: Double,
    internal val promptMillis: Double,
    internal val memoryTokens: Int,
    internal val urgency: PriorityClass,
) {
    /** Time of the first byte of the answer, or null. */
    internal var answeredMillis: Long? = null
}
