package dev.bergamotwind.serving.crash

import dev.bergamotwind.serving.call.PromptPartId

/** A prompt part that was among the suspects of crashes and has not been answered soundly since. */
internal class SuspectPart(val id: PromptPartId) {
    private val crashMillis = HashMap<EngineCrashId, Long>()

    /** Time of the last change that the other VMs have to be told. */
    var changedMillis = Long.MIN_VALUE / 2

    /** Start of the last trial of any VM, or null. */
    var trialMillis: Long? = null

    /** Requests that this VM has refused for the part. */
    var refusedRequests = 0L

    /** Crashes by id, with their times. */
    val crashes: Map<EngineCrashId, Long> get() = crashMillis

    /** Time of the last crash. */
    val lastCrashMillis: Long get() = crashMillis.values.maxOrNull() ?: 0

    /** Number of crashes with causes of their own. */
    var separateCrashes = 0
        private set

    /** True when requests with the part are refused. */
    val isRefused: Boolean get() = separateCrashes >= REFUSING_CRASHES

    /** Adds a crash; false when it is known, or older than all that are remembered. */
    fun addCrash(id: EngineCrashId, millis: Long): Boolean {
        if (id in crashMillis) return false
        crashMillis[id] = millis
        if (crashMillis.size > REMEMBERED_CRASHES) crashMillis -= crashMillis.minBy { it.value }.key
        separateCrashes = countSeparate(crashMillis.values)
        return id in crashMillis
    }

    /** Removes [ids]; false when none of them is known. */
    fun removeCrashes(ids: Collection<EngineCrashId>): Boolean {
        if (!crashMillis.keys.removeAll(ids.toSet())) return false
        separateCrashes = countSeparate(crashMillis.values)
        return true
    }

    /** Number of crashes that none of [others] was a suspect of. */
    fun separateCrashesWithout(others: List<SuspectPart>): Int =
        countSeparate(crashMillis.filterKeys { id -> others.none { id in it.crashMillis } }.values)

    private fun countSeparate(times: Collection<Long>): Int {
        var count = 0
        var lastMillis = Long.MIN_VALUE / 2
        for (millis in times.sorted()) {
            if (millis - lastMillis < SAME_CAUSE_MILLIS) continue
            count++
            lastMillis = millis
        }
        return count
    }
}
