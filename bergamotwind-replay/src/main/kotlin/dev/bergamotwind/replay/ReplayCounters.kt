package dev.bergamotwind.replay

import dev.bergamotwind.api.Failure

/** Counts the requests, tokens and traffic of a replay for its [ReplayResult]. */
internal class ReplayCounters(private val trace: Trace) {
    private class TeamCounters {
        var insideRate = 0
        var inTime = 0
    }

    private val teams = trace.deployment.teams.associate { it.name to TeamCounters() }
    private var refusedInsideRate = 0
    private var tokens = 0L
    private var crossRegionBytes = 0L

    fun recordRefusal(record: TraceRecord, failure: Failure) {
        if (failure is Failure.RateExceeded) return
        teams.getValue(record.subject).insideRate++
        refusedInsideRate++
    }

    fun recordAdmission(record: TraceRecord) {
        teams.getValue(record.subject).insideRate++
    }

    fun recordUnavailable() {
        refusedInsideRate++
    }

    fun recordAnswer(record: TraceRecord, isInTime: Boolean) {
        if (isInTime) teams.getValue(record.subject).inTime++
        tokens += record.promptTokens + record.outputTokens
    }

    fun recordCrossRegionCall(record: TraceRecord) {
        crossRegionBytes += (record.promptTokens + record.outputTokens) * BYTES_PER_TOKEN
    }

    fun result(policy: ReplayPolicy, seed: Long, moves: Int, overcommitted: Int): ReplayResult {
        val attainments = teams.values.map { it.inTime.toDouble() / it.insideRate.coerceAtLeast(1) }.sorted()
        val inside = teams.values.sumOf { it.insideRate }
        val answered = teams.values.sumOf { it.inTime }
        return ReplayResult(
            deployment = trace.deployment.name,
            policy = policy.label,
            seed = seed,
            requests = trace.records.count { it.kind == TraceKind.REQUEST },
            answeredInTime = answered,
            attainmentPerAccelerator =
            answered.toDouble() / (trace.deployment.engines * trace.deployment.acceleratorsPerEngine),
            moves = moves,
            worstTeamAttainment = attainments.first(),
            medianTeamAttainment = attainments[attainments.size / 2],
            refusedInsideRate = refusedInsideRate,
            refusedInsideRatePart = refusedInsideRate.toDouble() / inside.coerceAtLeast(1),
            tokens = tokens,
            crossRegionBytes = crossRegionBytes,
            memoryOvercommitted = overcommitted,
        )
    }

    private companion object {
        // Approximate size of the server-sent event for one token.
        const val BYTES_PER_TOKEN = 180L
    }
}
