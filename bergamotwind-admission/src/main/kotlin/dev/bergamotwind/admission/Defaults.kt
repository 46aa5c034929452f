package dev.bergamotwind.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Age of the applied configuration beyond which it no longer confirms that a key is valid. */
public val DEFAULT_FRESHNESS_LIMIT: Duration = 5.seconds

/** Maximum length of a bearer key; longer ones are refused without being hashed. */
public const val MAXIMUM_KEY_CHARACTERS: Int = 512

/** Number of surplus units into which the part of a team's rate outside the slots is divided. */
public const val SURPLUS_UNITS: Int = 16

/** Fraction of a team's rate and burst that is divided among the slots; the surplus units divide the rest. */
public const val SLOT_FRACTION: Double = 0.5

/** Time to live of the lease to which a node's surplus units are attached. */
public val UNIT_LEASE_DURATION: Duration = 5.seconds

/** How long before its lease expires a node stops using its units; covers clock drift and short pauses. */
public val UNIT_LEASE_MARGIN: Duration = 1.seconds

/** Interval between the keep-alive calls of a node. */
public val KEEP_ALIVE_INTERVAL: Duration = 1.seconds

/** Interval at which the slot records are read. */
public val SLOT_CHECK_INTERVAL: Duration = 5.seconds

/**
 * How long the VM of a slot must be missing from the VM list, in every reading, before its slot is released. The list
 * lags, so a VM that has just started can be missing from it although it already holds a slot.
 */
public val ABANDONED_SLOT_TIMEOUT: Duration = 30.seconds

/** Maximum number of teams whose units a node changes in one tick; spreads the calls to the key-value service. */
public const val MAXIMUM_UNIT_CHANGES_PER_TICK: Int = 8

/** Time constant of the exponential moving average of a team's demand at a node. */
public val DEMAND_TIME_CONSTANT: Duration = 1.seconds

/**
 * Factors by which the measured demand is multiplied when units are allocated; the first factor for which there are
 * enough units is used. The headroom covers rising demand while units move between nodes.
 */
public val DEMAND_HEADROOM_FACTORS: List<Double> = listOf(2.0, 1.75, 1.5, 1.4, 1.3, 1.2, 1.1, 1.0)

/** Default capacity of a node's fair queue, in requests. */
public const val DEFAULT_QUEUE_CAPACITY: Int = 1024

/** Default number of requests that a node runs concurrently; the limit can be changed at run time. */
public const val DEFAULT_CONCURRENCY_LIMIT: Int = 256

/** Timeout for a change of the rate shares to be carried out by the admission thread. */
public val ADMISSION_REPLY_TIMEOUT: Duration = 5.seconds

/** Tick interval of the admission thread, and so the precision with which queued requests expire. */
public val ADMISSION_TICK_INTERVAL: Duration = 20.milliseconds

/** Interval at which admission publishes its snapshot; half the digest interval. */
public val SNAPSHOT_INTERVAL: Duration = 250.milliseconds

/** Tick interval of the thread that maintains slots and units. */
public val RATE_SHARE_TICK_INTERVAL: Duration = 250.milliseconds

internal const val NANOS_PER_SECOND = 1e9
