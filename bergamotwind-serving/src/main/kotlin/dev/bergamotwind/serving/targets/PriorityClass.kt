package dev.bergamotwind.serving.targets

/** How soon a request must be served in relation to others at the same engine. */
public enum class PriorityClass {
    /** Before all others. */
    URGENT,

    /** Within its latency, which is short. */
    USUAL,

    /** After the others; its latency is long. */
    PATIENT,
}
