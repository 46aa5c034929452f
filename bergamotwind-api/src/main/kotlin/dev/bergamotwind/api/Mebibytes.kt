package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** An amount of accelerator memory in MiB. */
@Serializable
@JvmInline
public value class Mebibytes(public val value: Long) : Comparable<Mebibytes> {
    /** Returns the sum. */
    public operator fun plus(other: Mebibytes): Mebibytes = Mebibytes(value + other.value)

    /** Returns the difference, which may be negative. */
    public operator fun minus(other: Mebibytes): Mebibytes = Mebibytes(value - other.value)

    override fun compareTo(other: Mebibytes): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
