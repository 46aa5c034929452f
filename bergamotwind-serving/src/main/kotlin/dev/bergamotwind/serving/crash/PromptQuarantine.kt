package dev.bergamotwind.serving.crash

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.EventFieldsBuilder
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.call.ModelRequest
import dev.bergamotwind.serving.call.PromptPartId
import dev.bergamotwind.serving.peer.PEER_TIMEOUT_MILLIS

/**
 * Keeps requests with a prompt part that crashes engines away from them.
 *
 * A part is suspected when an unanswered request with it was at an engine that crashed, and cleared when a request with
 * it is answered. After [REFUSING_CRASHES] crashes without an answer its requests are refused. From time to time one of
 * them is sent to an engine as a trial; each failed trial doubles the time until the next one. VMs share crashes and
 * answers, so that one VM's knowledge outlives it. Used on the serving loop.
 */
internal class PromptQuarantine(
    private val loop: ServingLoop,
    /** Time in milliseconds until the first trial, and the longest time that a trial takes. */
    private val trialPauseMillis: Long,
    private val recorder: EventRecorder,
    private val trialClaims: TrialClaims,
    /** Called when the other VMs have to be told of a change. */
    private val onChange: () -> Unit,
) {
    private val suspects = LinkedHashMap<PromptPartId, SuspectPart>()

    /** Time of the last sound answer at this VM. A crash may be confirmed, or told by another VM, only after it. */
    private val soundMillis = BoundedMap<PromptPartId, Long>(SOUND_PART_LIMIT)
    private val cleared = BoundedMap<PromptPartId, ClearedCrashes>(SOUND_PART_LIMIT)

    /** The parts whose requests are refused. */
    val refusedParts: List<SuspectPart> get() = suspects.values.filter { it.isRefused }

    /** What operators see of all suspected parts, the most suspected ones first. */
    val statuses: List<PromptPartStatus>
        get() = suspects.values.sortedByDescending { it.separateCrashes }.map {
            PromptPartStatus(
                it.id,
                it.isRefused,
                it.separateCrashes,
                loop.nowMillis() - it.lastCrashMillis,
                if (it.isRefused) millisUntilTrial(it, setOf(it.id)).coerceAtLeast(0) else 0,
                it.refusedRequests,
            )
        }

    /** Takes note of a crash that this VM has observed. */
    fun onCrash(crash: EngineCrash) {
        crash.suspectParts.forEach { addCrash(it, crash.id, crash.crashedMillis, isOwn = true) }
        if (crash.suspectParts.isNotEmpty()) onChange()
    }

    /** Takes note that the answer to [request] began at [answeredMillis] and its engine is sound since. */
    fun onSound(request: ModelRequest, answeredMillis: Long) {
        for (part in request.sharedParts) {
            soundMillis.putLast(part.id, answeredMillis)
            val crashes = suspects[part.id]?.crashes?.filterValues { it < answeredMillis }.orEmpty()
            if (crashes.isEmpty()) continue
            clear(part.id, crashes.keys.toList(), tell = true)
            onChange()
        }
    }

    /** Takes note that [request] is sent to an engine; true when it is the trial of a refused part. */
    fun onSent(request: ModelRequest): Boolean {
        val tried = refusedIn(request)
        for (suspect in tried) {
            suspect.trialPermitUntilMillis = loop.nowMillis()
            recorder.event("prompt-part.trial") { describe(suspect) }
        }
        return tried.isNotEmpty()
    }

    /** Takes note that an engine did not accept the trial [request], so it has shown nothing and may be repeated. */
    fun onTrialNotRun(request: ModelRequest): Unit =
        refusedIn(request).forEach { it.permitTrial(loop.nowMillis(), trialPauseMillis) }

    /**
     * Asks for the trial of [part]; [onDecided] is called when it has been decided. No VM can begin another trial
     * before this one has had its time.
     */
    fun claimTrial(part: PromptPartId, onDecided: () -> Unit) {
        val suspect = suspects[part] ?: return
        if (suspect.isClaimingTrial) return
        suspect.isClaimingTrial = true
        trialClaims.claim(reportOf(suspect).copy(trialAge = 0)) { isGranted ->
            suspect.isClaimingTrial = false
            // Without the claim another VM has just begun a trial, or the store cannot tell.
            suspect.trialMillis = loop.nowMillis()
            suspect.changedMillis = loop.nowMillis()
            if (isGranted) suspect.permitTrial(loop.nowMillis(), trialPauseMillis)
            onDecided()
        }
    }

    /** Returns why [request] must not be sent to an engine now, or null. */
    fun refusal(request: ModelRequest): RefusedPart? {
        val parts = request.sharedParts.mapTo(HashSet()) { it.id }
        val (suspect, wait) = refusedIn(request).filter { it.trialPermitUntilMillis <= loop.nowMillis() }
            .map { it to millisUntilTrial(it, parts) }.maxByOrNull { it.second } ?: return null
        if (wait > 0) suspect.refusedRequests++
        return RefusedPart(suspect.id, suspect.separateCrashes, wait.coerceAtLeast(0))
    }

    /** Releases [part], because an operator has deleted its item. */
    fun release(part: PromptPartId) {
        suspects[part]?.let { clear(part, it.crashes.keys.toList(), tell = false) }
    }

    /** Returns what the other VMs have to be told now. */
    fun reports(): List<PromptPartReport> {
        if (suspects.isEmpty() && cleared.isEmpty()) return emptyList()
        val now = loop.nowMillis()
        val shared = suspects.values.filter { it.isShared(now) }.sortedByDescending { it.crashes.size }
        val sharedCleared = cleared.filterValues { now - it.changedMillis < PEER_TIMEOUT_MILLIS }
        return (shared.map(::reportOf) + sharedCleared.map { PromptPartReport(it.key, clearedCrashes = it.value.ids) })
            .take(REPORTED_PART_LIMIT)
    }

    /** Returns a report of all that is known about [suspect]. */
    fun reportOf(suspect: SuspectPart): PromptPartReport {
        val now = loop.nowMillis()
        return PromptPartReport(
            part = suspect.id,
            crashAges = suspect.crashes.mapValues { now - it.value },
            trialAge = suspect.trialMillis?.let { now - it },
        )
    }

    /** Applies what another VM or an earlier process knew. */
    fun apply(report: PromptPartReport) {
        val now = loop.nowMillis()
        if (report.clearedCrashes.isNotEmpty()) clear(report.part, report.clearedCrashes, tell = false)
        report.crashAges.forEach { (crash, age) ->
            addCrash(report.part, crash, now - age.coerceAtLeast(0), isOwn = false)
        }
        val suspect = suspects[report.part]
        val trialMillis = report.trialAge?.let { now - it.coerceAtLeast(0) }
        if (suspect != null && trialMillis != null) {
            suspect.trialMillis = maxOf(suspect.trialMillis ?: trialMillis, trialMillis)
        }
    }

    /** Forgets suspicions that nothing has renewed. */
    fun removeExpired() {
        val now = loop.nowMillis()
        suspects.values.removeIf { suspect ->
            val renewedMillis = suspect.lastCrashMillis + if (suspect.isRefused) pauseMillis(suspect) else 0
            val isExpired = now - renewedMillis >= SUSPICION_LIFETIME_MILLIS
            if (isExpired && suspect.isRefused) recordRelease(suspect, "expired")
            isExpired
        }
    }

    private fun refusedIn(request: ModelRequest): List<SuspectPart> {
        if (suspects.isEmpty()) return emptyList()
        return request.sharedParts.mapNotNull { suspects[it.id] }.filter { it.isRefused }
    }

    /** Milliseconds until this VM may try a request with [suspect] and the other parts in [parts]. */
    private fun millisUntilTrial(suspect: SuspectPart, parts: Set<PromptPartId>): Long {
        val others = refusedParts.filter { it.id !in parts }
        // A part that came with another one each time is tried without it, which tells the two apart.
        val isExplained = suspect.separateCrashesWithout(others) <= UNEXPLAINED_CRASHES
        val dueMillis = suspect.lastCrashMillis + (if (isExplained) 0 else pauseMillis(suspect))
        val trialEndMillis = suspect.trialMillis?.let { it + trialPauseMillis } ?: dueMillis
        return maxOf(dueMillis, trialEndMillis) - loop.nowMillis()
    }

    private fun pauseMillis(suspect: SuspectPart): Long =
        trialPauseMillis shl suspect.failedTrials(trialPauseMillis / 2)

    private fun addCrash(part: PromptPartId, crash: EngineCrashId, millis: Long, isOwn: Boolean) {
        if (loop.nowMillis() - millis >= SUSPICION_LIFETIME_MILLIS) return
        val wasCleared = cleared[part]?.ids?.contains(crash) ?: false
        val wasAnsweredSince = soundMillis[part].let { it != null && it > millis }
        // Whoever still suspects the part has not heard that it was cleared.
        if (wasCleared || wasAnsweredSince) return clear(part, listOf(crash), tell = !isOwn)
        val suspect = suspects.getOrPut(part) { SuspectPart(part) }
        val wasRefused = suspect.isRefused
        val isNew = suspect.addCrash(crash, millis)
        val isNewlyRefused = suspect.isRefused && !wasRefused
        if ((isNew && isOwn) || isNewlyRefused) suspect.changedMillis = loop.nowMillis()
        if (isNewlyRefused) recorder.event("prompt-part.refused") { describe(suspect) }
        if (suspects.size > SUSPECT_PART_LIMIT) suspects -= suspects.values.minBy { it.separateCrashes }.id
    }

    /** Clears [part] of [crashes]; [tell] the other VMs if they do not know. */
    private fun clear(part: PromptPartId, crashes: Collection<EngineCrashId>, tell: Boolean) {
        val entry = cleared[part] ?: ClearedCrashes()
        entry.add(crashes)
        cleared.putLast(part, entry)
        if (tell) entry.changedMillis = loop.nowMillis()
        val suspect = suspects[part] ?: return
        val wasRefused = suspect.isRefused
        suspect.removeCrashes(crashes)
        if (wasRefused && !suspect.isRefused) recordRelease(suspect, "cleared")
        if (suspect.crashes.isEmpty()) suspects -= part
    }

    private fun recordRelease(suspect: SuspectPart, reason: String) {
        recorder.event("prompt-part.released") {
            field("part", suspect.id)
            field("reason", reason)
            field("refused_requests", suspect.refusedRequests)
        }
    }

    private fun EventFieldsBuilder.describe(suspect: SuspectPart) {
        field("part", suspect.id)
        field("crashes", suspect.separateCrashes)
        field("crash_ids", suspect.crashes.keys.joinToString(","))
        field("last_crash_millis_ago", loop.nowMillis() - suspect.lastCrashMillis)
        field("trial_pause_millis", pauseMillis(suspect))
    }

    private companion object {
        /** Crashes of a part beside another one that a cause outside of requests may explain. */
        const val UNEXPLAINED_CRASHES = 1
    }
}
