package dev.bergamotwind.membership

/** The protocol versions that a node speaks. Two nodes use the newest version that both speak. */
public data class ProtocolVersions(val oldest: Int = 1, val newest: Int = 1) {
    /** Returns the version to use with a node that speaks [other], or null when there is none. */
    public fun common(other: ProtocolVersions): Int? =
        minOf(newest, other.newest).takeIf { it >= maxOf(oldest, other.oldest) }
}
