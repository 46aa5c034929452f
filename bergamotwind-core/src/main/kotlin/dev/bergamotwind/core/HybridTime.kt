package dev.bergamotwind.core

import kotlinx.serialization.Serializable

/** A time stamp of a hybrid logical clock: wall-clock milliseconds and a counter that orders events within one. */
@Serializable
public data class HybridTime(val millis: Long, val counter: Int) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int =
        compareValuesBy(this, other, HybridTime::millis, HybridTime::counter)

    override fun toString(): String = "$millis.$counter"
}
