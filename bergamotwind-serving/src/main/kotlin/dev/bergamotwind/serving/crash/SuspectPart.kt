package dev.bergamotwind.serving.crash

import dev.bergamotwind.serving.call.PromptPartId
import dev.bergamotwind.serving.peer.PEER_TIMEOUT_MILLIS

/** A prompt part that was among the suspects of crashes and has not been answered soundly since. */
internal class SuspectPart(val id: PromptPartId) {
    private val crashMillis = HashMap<EngineCrashId, Long>()

    /** Time of the last change that the other VMs have to be told. */
    var changedMillis = Long.MIN_VALUE / 2

    /** Start of the last trial of any VM, or null. */
    var trialMillis: Long? = null

    /** True while this VM asks for the next trial. */
    var isClaimingTrial = false

    /** Time until which this VM may send one request as a trial. */
    var trialPermitUntilMillis = Long.MIN_VALUE / 2

    /** Requests that this VM has refused for the part. */
    var refusedRequests = 0L

    /** Crashes by id, with their times. */
    val crashes: Map<EngineCrashId, Long> get() = crashMillis

    /** Time of the last crash. */
    val lastCrashMillis: Long get() = crashMillis.values.maxOrNull() ?: 0

    /** Number of crashes with causes of their own. */
    var separateCrashes = 0
        private set

    /** Number of crashes more than [burstMillis] after the part began to be refused, which trials have caused. */
    fun failedTrials(burstMillis: Long): Int {
        val refusedSinceMillis = crashMillis.values.sorted().getOrNull(REFUSING_CRASHES - 1) ?: return 0
        return crashMillis.values.count { it > refusedSinceMillis + burstMillis }
    }

    /** True when requests with the part are refused. */
    val isRefused: Boolean get() = separateCrashes >= REFUSING_CRASHES

    /** Adds a crash; false when it is known, or older than all that are remembered. */
    fun addCrash(id: EngineCrashId, millis: Long): Boolean {
        val knownMillis = crashMillis[id]
        // A report on its way only makes a crash appear later, so the earliest time is the best known one.
        if (knownMillis != null && knownMillis <= millis) return false
        crashMillis[id] = millis
        if (crashMillis.size > REMEMBERED_CRASHES) crashMillis -= crashMillis.minBy { it.value }.key
        separateCrashes = countSeparate(crashMillis.values)
        return knownMillis == null && id in crashMillis
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

    /** Lets this VM send one request as a trial, for half of [trialMillis]; then the claim is void. */
    fun permitTrial(nowMillis: Long, trialMillis: Long) {
        trialPermitUntilMillis = nowMillis + trialMillis / 2
    }

    /** True while the other VMs have to be told; a refused part is repeated for those that were cut off. */
    fun isShared(nowMillis: Long): Boolean {
        val periods = (nowMillis - changedMillis) / PEER_TIMEOUT_MILLIS
        return periods == 0L || (isRefused && periods % REPETITION_PERIODS == 0L)
    }

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

    private companion object {
        /** A refused part is shared in one of so many periods of [PEER_TIMEOUT_MILLIS]. */
        const val REPETITION_PERIODS = 4L
    }
}
