package dev.bergamotwind.admission

/** Estimated tokens taken from a [TokenBucket] until the actual use is known. */
public class TokenReservation internal constructor(internal val tokens: Double, internal val windowNumber: Long) {
    internal var previous: TokenReservation? = null
    internal var next: TokenReservation? = null

    /** Smallest headroom of the bucket between this reservation and the next one. */
    internal var minimumHeadroom: Double = Double.MAX_VALUE
    internal var isOpen: Boolean = true
}
