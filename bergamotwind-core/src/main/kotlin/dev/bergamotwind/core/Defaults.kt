package dev.bergamotwind.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Messages that a duty's ring holds before senders are refused. */
public const val DEFAULT_RING_CAPACITY: Int = 4096

/** Events that a process keeps for the time line. */
public const val DEFAULT_TIME_LINE_CAPACITY: Int = 65_536

/** Time between two ticks of a duty that asks for no other interval. */
public val DEFAULT_TICK_INTERVAL: Duration = 100.milliseconds
