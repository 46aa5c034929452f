package dev.bergamotwind.serving.targets

/** Priority class of a request relative to others at the same engine. */
public enum class PriorityClass {
    /** Runs before all others. */
    URGENT,

    /** Runs within its target latency, which is short. */
    USUAL,

    /** Runs after the others; its target latency is long. */
    PATIENT,
}
