package dev.bergamotwind.membership

/** The protocol versions that a node supports. Two nodes use the newest version that both support. */
public data class ProtocolVersions(val oldest: Int = 1, val newest: Int = 1) {
    /** Returns the version to use with a node that supports [other], or null if there is none. */
    public fun newestCommon(other: ProtocolVersions): Int? =
        minOf(newest, other.newest).takeIf { it >= maxOf(oldest, other.oldest) }
}
