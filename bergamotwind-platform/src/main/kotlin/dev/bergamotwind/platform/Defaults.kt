package dev.bergamotwind.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Calls a second that one node may make to the key-value service. At 410 nodes and about 2,000 reads a second the
 * fair share is under 5; a small deployment can raise it.
 */
public const val DEFAULT_CALLS_PER_SECOND: Int = 50

/** Part of the calls a second that only lease keep-alives may use, so that other work cannot end a lease. */
public const val DEFAULT_RESERVED_CALLS_PER_SECOND: Int = 5

/** Time after which a call without an answer fails. A slow service answers in 2 s, and a lease lasts 5 s. */
public val DEFAULT_CALL_TIMEOUT: Duration = 3.seconds

/** Time after which a connection attempt fails; latency between regions is about 20 ms. */
public val DEFAULT_CONNECT_TIMEOUT: Duration = 500.milliseconds

/** Time after which an order to an engine, or the reading of its report, fails. */
public val DEFAULT_CONTROL_TIMEOUT: Duration = 2.seconds

/** Largest answer that is read, a quarter of the 256 MB of a node. A longer one counts as broken. */
internal const val RESPONSE_LIMIT_BYTES: Long = 67_108_864

/** Largest value that the key-value service takes. */
public const val MAXIMUM_VALUE_BYTES: Int = 1_000_000
