package dev.bergamotwind.placement

import dev.bergamotwind.api.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Time that has passed since [nanos] of the same monotonic clock. */
internal fun Clock.elapsedSince(nanos: Long): Duration = (monotonicNanos() - nanos).nanoseconds
