package dev.bergamotwind.serving.crash

/**
 * Crashes after which requests with a prompt part are refused. Two also happen to a rare part whose request was sent
 * again after one engine had failed for another cause; the platform permits five.
 */
internal const val REFUSING_CRASHES = 3

/** Crashes within this many milliseconds count as one: engines that fail together share a cause outside of requests. */
internal const val SAME_CAUSE_MILLIS = 100L

/** Latest crashes remembered for each prompt part; each doubles the time until the next trial. */
internal const val REMEMBERED_CRASHES = 8

/** Suspected prompt parts that a VM remembers: about 0.2 MB. */
internal const val SUSPECT_PART_LIMIT = 512

/** Prompt parts whose last sound answer a VM remembers, so that a crash reported later does not count against them. */
internal const val SOUND_PART_LIMIT = 2_048

/** Prompt parts in one heartbeat: at most 4 KB, usually below 0.5 KB. */
internal const val REPORTED_PART_LIMIT = 32

/** Milliseconds after which a suspicion ends that neither a crash nor a trial has renewed. */
internal const val SUSPICION_LIFETIME_MILLIS = 600_000L
