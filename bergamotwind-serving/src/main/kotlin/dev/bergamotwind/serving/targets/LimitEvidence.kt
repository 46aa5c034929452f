package dev.bergamotwind.serving.targets

/** An observation at a target: [limitPerSecond] that it named at [observedMillis], or null when it named none. */
internal class LimitEvidence(val limitPerSecond: Double?, val observedMillis: Long) {
    /** True when this is newer than [other]; of two at the same time the one with a limit counts. */
    fun isNewerThan(other: LimitEvidence?): Boolean = other == null || observedMillis > other.observedMillis ||
        (observedMillis == other.observedMillis && limitPerSecond != null)
}
