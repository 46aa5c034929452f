package dev.bergamotwind.placement

import dev.bergamotwind.api.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Returns the time elapsed since [nanos], an earlier reading of this monotonic clock. */
internal fun Clock.elapsedSince(nanos: Long): Duration = (monotonicNanos() - nanos).nanoseconds
