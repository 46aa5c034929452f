package dev.bergamotwind.serving.peer

/** Milliseconds between beats while there are few VMs. */
internal const val PEER_BEAT_MILLIS = 100L

/** Milliseconds between beats for each VM: with more VMs beats are rarer, so that a VM receives about 80 a second. */
internal const val PEER_BEAT_PER_VM_MILLIS = 12L

/** Longest interval between beats; rates are shared with this lag. */
internal const val PEER_BEAT_LONGEST_MILLIS = 1_000L

/** Milliseconds between beats to other regions, whose bytes are paid for. */
internal const val PEER_FAR_BEAT_MILLIS = 400L

/** An extra beat may follow after this part of the interval. */
internal const val EARLY_BEAT_PART = 5

/** Milliseconds after a VM's start in which the others tell it what teams may still use: some beats. */
internal const val RECENT_START_MILLIS = 1_200L

/** Milliseconds without a beat after which a VM counts as silent: two of the longest intervals. */
internal const val PEER_SILENCE_MILLIS = 2_000L

/** Milliseconds for which a VM whose registration has ended may still run, cut off from the platform. */
internal const val PEER_LEAVING_MILLIS = 4_000L
