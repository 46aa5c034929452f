package dev.bergamotwind.serving.targets

/** What a target states about itself in an answer, whatever the answer is about. */
public data class TargetStatement(
    /** True when the target is leaving and takes no new work. */
    val isLeaving: Boolean = false,
    /** Milliseconds for which the target, which has turned this VM away, takes nothing from it, or null. */
    val restMillis: Long? = null,
) {
    /** True when the statement restricts what may be sent to the target. */
    val isRestricting: Boolean get() = isLeaving || restMillis != null
}
