package dev.bergamotwind.serving.crash

/** The latest crashes that a prompt part is no suspect of any more. */
internal class ClearedCrashes {
    /** Ids of the crashes, the latest ones last. */
    val ids = LinkedHashSet<EngineCrashId>()

    /** Time of the last change that the other VMs have to be told. */
    var changedMillis = Long.MIN_VALUE / 2

    /** Adds [crashes]; the oldest ones are forgotten beyond a limit. */
    fun add(crashes: Collection<EngineCrashId>) {
        ids += crashes
        while (ids.size > REMEMBERED_CRASHES) ids -= ids.first()
    }
}
