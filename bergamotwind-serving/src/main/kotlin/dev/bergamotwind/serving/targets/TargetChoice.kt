package dev.bergamotwind.serving.targets

/** The target that was chosen for a request. */
internal class TargetChoice(
    val target: TargetState,
    /** Predicted milliseconds until the first event, or until the response of a plain service. */
    val predictedMillis: Double,
    /** Prefill milliseconds that the request adds. */
    val prefillMillis: Double,
    /** True when the target has loaded the model and lacks the adapter. */
    val needsAdapter: Boolean,
)
