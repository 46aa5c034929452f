package dev.bergamotwind.configuration

/** Number of equal shares into which the guaranteed part of each team's rate is divided; one for each entry VM. */
public const val DEFAULT_ENTRY_SLOTS: Int = 6

/**
 * Number of changes after which a node writes a snapshot. At 11,000 changes a day this is 22 snapshots a day, and a new
 * node replays at most twice as many changes.
 */
public const val SNAPSHOT_INTERVAL_CHANGES: Int = 500

/** Number of digits of a key digest shown in messages. */
internal const val ABBREVIATED_DIGEST_LENGTH = 12

/** Changes retained in memory for peers that lag behind; at 11,000 changes a day this covers more than two hours. */
internal const val MAXIMUM_RECENT_CHANGES = 1_024

/** Changes read by one call, so that a response stays well below the message size limit of the service. */
internal const val CHANGES_PER_READ = 200

/** Changes deleted by one transaction; each has two records, and etcd permits 128 operations by default. */
internal const val CHANGES_PER_DELETION = 50

/** Minimum age of trimmed changes; a submission can be repeated under its id for this long. */
internal const val CHANGE_RETENTION_MILLIS = 3_600_000L

/** Number of complete snapshots retained; the second is the fallback if the newest is damaged. */
internal const val RETAINED_SNAPSHOTS = 2

/** Maximum number of snapshots that a read tries, newest first. */
internal const val MAXIMUM_SNAPSHOT_ATTEMPTS = 4

/** Characters in one part of a snapshot. UTF-8 needs at most 3 bytes per character, and a value is limited to 1 MB. */
internal const val SNAPSHOT_PART_CHARACTERS = 300_000

/** Maximum size of a change in characters; same limit as for a part of a snapshot. */
internal const val MAXIMUM_CHANGE_CHARACTERS = 300_000

/** Attempts to commit a change before it is rejected; operators submit about one change every eight seconds. */
internal const val MAXIMUM_SUBMIT_ATTEMPTS = 32

/** Maximum number of revoked keys retained; their digests add at most 0.7 MB to a snapshot. */
internal const val MAXIMUM_REVOKED_KEYS = 10_000

/** Maximum number in a cell of the planning sheet. */
internal const val MAXIMUM_SHEET_NUMBER = 2_000_000_000L
