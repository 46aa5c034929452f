package dev.bergamotwind.serving.targets

import java.util.SplittableRandom

/** Hashes longs with an even distribution and the same result on every VM. */
internal object StableHash {
    fun hash(value: Long): Long = SplittableRandom(value).nextLong()
}
