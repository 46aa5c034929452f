package dev.bergamotwind.replay

import dev.bergamotwind.api.Failure

/** Counts what a replay reports. */
internal class ReplayCounters(private val trace: Trace) {
    private class Team {
        var insideRate = 0
        var inTime = 0
    }

    private val teams = trace.deployment.teams.associate { it.name to Team() }
    private var refusedInside = 0
    private var tokens = 0L
    private var crossRegionBytes = 0L

    fun refused(record: TraceRecord, failure: Failure) {
        if (failure is Failure.RateExceeded) return
        teams.getValue(record.subject).insideRate++
        refusedInside++
    }

    fun admitted(record: TraceRecord) {
        teams.getValue(record.subject).insideRate++
    }

    fun unavailable() {
        refusedInside++
    }

    fun answered(record: TraceRecord, isInTime: Boolean) {
        if (isInTime) teams.getValue(record.subject).inTime++
        tokens += record.promptTokens + record.outputTokens
    }

    fun crossed(record: TraceRecord) {
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
            refusedInsideRate = refusedInside,
            refusedInsideRatePart = refusedInside.toDouble() / inside.coerceAtLeast(1),
            tokens = tokens,
            crossRegionBytes = crossRegionBytes,
            memoryOvercommitted = overcommitted,
        )
    }

    private companion object {
        // Server-sent events carry about this much for one token.
        const val BYTES_PER_TOKEN = 180L
    }
}
