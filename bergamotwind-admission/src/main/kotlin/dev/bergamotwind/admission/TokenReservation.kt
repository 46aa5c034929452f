package dev.bergamotwind.admission

/** Tokens taken from a [TokenBucket] by estimate until the actual use is known. */
public class TokenReservation internal constructor(internal val tokens: Double, internal val window: Long) {
    internal var previous: TokenReservation? = null
    internal var next: TokenReservation? = null

    /** Smallest headroom of the bucket between this reservation and the following one. */
    internal var headroom: Double = Double.MAX_VALUE
    internal var open: Boolean = true
}
