package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/** Number of one period of ownership; a later owner holds a greater number. */
@Serializable
@JvmInline
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
