package dev.bergamotwind.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Age of the applied configuration from which on it no longer confirms a key. */
public val DEFAULT_FRESHNESS_LIMIT: Duration = 5.seconds

/** Longest bearer key that is hashed; longer ones are refused unread. */
public const val MAXIMUM_KEY_CHARACTERS: Int = 512

/** Surplus units into which the second half of each team's rate is divided. */
public const val SURPLUS_UNITS: Int = 16

/** Share of a team's rate and burst that is divided among the slots; the units divide the rest. */
public const val SLOT_FRACTION: Double = 0.5

/** Lifetime of the lease that a node's surplus units are attached to. */
public val UNIT_LEASE: Duration = 5.seconds

/** Time before the end of the lease at which a node stops using its units; covers clock drift and short pauses. */
public val UNIT_LEASE_MARGIN: Duration = 1.seconds

/** Time between two keep-alive calls of a node. */
public val KEEP_ALIVE_INTERVAL: Duration = 1.seconds

/** Time between two readings of the slot records. */
public val SLOT_CHECK_INTERVAL: Duration = 5.seconds

/**
 * Time that a slot's VM must be missing from the VM list, in every reading, before its slot is handed over. The list
 * lags, so a VM that has just started can be missing from it although it already holds a slot.
 */
public val SLOT_HANDOVER_WAIT: Duration = 30.seconds

/** Teams whose units a node changes in one tick, to spread the calls to the key-value service. */
public const val UNIT_CHANGES_PER_TICK: Int = 8

/** Time constant over which a node averages the demand of a team. */
public val DEMAND_TIME_CONSTANT: Duration = 1.seconds

/**
 * Units are planned for the first of these multiples of the measured demand for which there are enough units, so that a
 * rising demand is met while units move.
 */
public val DEMAND_HEADROOMS: List<Double> = listOf(2.0, 1.75, 1.5, 1.4, 1.3, 1.2, 1.1, 1.0)

/** Requests that wait in the fair queue of a node at most. */
public const val DEFAULT_QUEUE_CAPACITY: Int = 1024

/** Requests that a node runs at the same time unless the limit is changed at run time. */
public const val DEFAULT_CONCURRENCY_LIMIT: Int = 256

/** Time after which a caller of the admission duty gives up waiting for it to take a message. */
public val ADMISSION_ANSWER_LIMIT: Duration = 5.seconds

/** Time between two ticks of the admission duty, and so the precision with which queued requests expire. */
public val ADMISSION_TICK_INTERVAL: Duration = 20.milliseconds

/** Time between two published snapshots of admission; half the interval of digests. */
public val SNAPSHOT_INTERVAL: Duration = 250.milliseconds

/** Time between two ticks of the duty that keeps slots and units. */
public val RATE_SHARE_TICK_INTERVAL: Duration = 250.milliseconds

internal const val NANOS_PER_SECOND = 1e9
