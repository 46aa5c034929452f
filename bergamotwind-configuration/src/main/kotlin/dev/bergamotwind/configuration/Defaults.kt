package dev.bergamotwind.configuration

/** Number of equal floor shares into which each team's rate is divided; one for each entry VM. */
public const val DEFAULT_ENTRY_SLOTS: Int = 6

/**
 * A node writes a snapshot after this many changes. At 11,000 changes a day this is 22 snapshots a day, and a new
 * node replays at most twice as many changes.
 */
public const val SNAPSHOT_INTERVAL_CHANGES: Int = 500

/** Digits of a key's digest shown in messages. */
internal const val SHOWN_DIGEST_DIGITS = 12

/** Changes kept in memory for peers that lack them; at 11,000 changes a day this covers more than two hours. */
internal const val RECENT_CHANGES = 1_024

/** Changes read by one call, so that one answer stays well below the service's message limit. */
internal const val CHANGES_PER_READ = 200

/** Changes deleted by one transaction; each has two records, and etcd permits 128 operations by default. */
internal const val CHANGES_PER_DELETION = 50

/** Age at which changes may be trimmed; within it a submission can be repeated under its id. */
internal const val KEPT_CHANGE_MILLIS = 3_600_000L

/** Complete snapshots that are kept; the second covers a fault in the newest. */
internal const val KEPT_SNAPSHOTS = 2

/** Snapshots tried, newest first, before a read gives up. */
internal const val SNAPSHOTS_TRIED = 4

/** Characters in one part of a snapshot. UTF-8 needs at most 3 bytes for each, and a value may hold 1 MB. */
internal const val SNAPSHOT_PART_CHARACTERS = 300_000

/** Largest change in characters; same bound as for a part of a snapshot. */
internal const val MAXIMUM_CHANGE_CHARACTERS = 300_000

/** Races that a change may lose before it is refused; operators submit about one change in eight seconds. */
internal const val MAXIMUM_SUBMIT_ATTEMPTS = 32

/** Revoked keys that are remembered; their digests add at most 0.7 MB to a snapshot. */
internal const val KEPT_REVOKED_KEYS = 10_000

/** Largest number in a cell of the planning sheet. */
internal const val MAXIMUM_SHEET_NUMBER = 2_000_000_000L
