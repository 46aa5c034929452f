package dev.bergamotwind.serving.targets

/** The best target for a request. */
internal class TargetChoice(
    val target: TargetState,
    /** Milliseconds until the first event, or until the answer of a plain service. */
    val predictedMillis: Double,
    /** Milliseconds of prompt reading that the request adds. */
    val promptMillis: Double,
    /** True when the target has the model and lacks the adapter. */
    val needsAdapter: Boolean,
)
