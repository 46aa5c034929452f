package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** A count of model tokens. */
@Serializable
@JvmInline
public value class Tokens(public val value: Long) : Comparable<Tokens> {
    /** Returns the sum. */
    public operator fun plus(other: Tokens): Tokens = Tokens(value + other.value)

    /** Returns the difference, which may be negative. */
    public operator fun minus(other: Tokens): Tokens = Tokens(value - other.value)

    override fun compareTo(other: Tokens): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
