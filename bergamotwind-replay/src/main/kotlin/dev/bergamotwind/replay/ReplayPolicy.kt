package dev.bergamotwind.replay

/** Routing and placement policies that a trace can be replayed with. */
public enum class ReplayPolicy(
    /** Name on the command line. */
    public val label: String,
) {
    /** Round-robin routing on a static, even placement. */
    ROUND_ROBIN("round-robin"),

    /** Least-in-flight routing on a static, even placement. */
    LEAST_IN_FLIGHT("least-in-flight"),

    /** The production routing policy on a placement that follows demand without smoothing or move cost. */
    NAIVE("naive"),

    /** The production policies with the settings before the last change. */
    PREVIOUS("previous"),

    /** The production policies. */
    CURRENT("current"),
    ;

    /** Looks up policies. */
    public companion object {
        /** Returns the policy called [label], or null. */
        public fun ofLabel(label: String): ReplayPolicy? = entries.firstOrNull { it.label == label }
    }
}
