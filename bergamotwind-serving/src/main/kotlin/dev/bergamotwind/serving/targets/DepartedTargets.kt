package dev.bergamotwind.serving.targets

/**
 * What targets without an entry in the store have stated. An entry may lapse or be unreadable for a while; when it is
 * back, the same start of the target is still bound by its statements. Used on the serving loop.
 */
internal class DepartedTargets {
    private class Departed(val availability: TargetAvailability, val sinceMillis: Long)

    private val departed = LinkedHashMap<TargetIncarnation, Departed>()

    /** Keeps the statements of [target], whose entry is gone. */
    fun add(target: TargetState, nowMillis: Long) {
        departed.values.removeIf { nowMillis - it.sinceMillis > TARGET_STATEMENT_LIFETIME_MILLIS }
        if (target.availability.isRestricted(nowMillis)) {
            departed[TargetIncarnation.of(target.record)] = Departed(target.availability, nowMillis)
        }
    }

    /** Returns what the target that has published [record] has stated before. */
    fun take(record: TargetRecord): TargetAvailability =
        departed.remove(TargetIncarnation.of(record))?.availability ?: TargetAvailability()
}
