package dev.bergamotwind.serving.targets

import java.util.SplittableRandom

/** Spreads a value evenly over all longs, the same way on every VM. */
internal object StableHash {
    fun mix(value: Long): Long = SplittableRandom(value).nextLong()
}
