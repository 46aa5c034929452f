package dev.bergamotwind.serving.targets

/** Load that one attempt adds to its target from sending until its end. */
public class AttemptLoad internal constructor(
    internal val sentMillis: Long,
    /** Predicted milliseconds from sending to the first event. */
    internal val predictedMillis: Double,
    internal val prefillMillis: Double,
    internal val memoryTokens: Int,
    internal val priority: PriorityClass,
    /** True when the request counts towards a limit that the target has named. */
    internal val isLimited: Boolean,
) {
    /** Time of the first byte of the response, or null. */
    internal var firstByteMillis: Long? = null
}
