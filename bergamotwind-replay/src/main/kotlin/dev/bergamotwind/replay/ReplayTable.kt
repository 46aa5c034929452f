package dev.bergamotwind.replay

import java.util.Locale

/** Renders results for people. */
public object ReplayTable {
    private const val ROW = "%-14s %-16s %6s %9s %9s %6s %8s %8s %9s %12s %12s %5s%n"
    private const val PERCENT = 100.0

    /** Returns one line for each of [results], under a heading. */
    public fun render(results: List<ReplayResult>): String = buildString {
        append(
            format(
                "deployment", "policy", "seed", "in_time", "per_accel", "moves", "worst_%", "median_%", "refused_%",
                "tokens", "cross_bytes", "over",
            ),
        )
        results.forEach { append(row(it, it.seed.toString())) }
    }

    /** Returns two lines for each deployment and policy: the median and the worst of each figure over the seeds. */
    public fun summarize(results: List<ReplayResult>): String = buildString {
        append(render(emptyList()))
        for (group in results.groupBy { it.deployment to it.policy }.values) {
            append(row(summary(group) { sorted -> sorted[sorted.size / 2] }, "median"))
            append(row(summary(group) { sorted -> sorted.last() }, "worst"))
        }
    }

    private fun summary(group: List<ReplayResult>, pick: (List<Double>) -> Double): ReplayResult {
        // Every figure is ordered from good to bad.
        fun best(figure: (ReplayResult) -> Number) = -pick(group.map { -figure(it).toDouble() }.sorted())

        fun least(figure: (ReplayResult) -> Number) = pick(group.map { figure(it).toDouble() }.sorted())
        return group.first().copy(
            answeredInTime = best { it.answeredInTime }.toInt(),
            attainmentPerAccelerator = best { it.attainmentPerAccelerator },
            moves = least { it.moves }.toInt(),
            worstTeamAttainment = best { it.worstTeamAttainment },
            medianTeamAttainment = best { it.medianTeamAttainment },
            refusedInsideRatePart = least { it.refusedInsideRatePart },
            tokens = best { it.tokens }.toLong(),
            crossRegionBytes = least { it.crossRegionBytes }.toLong(),
            memoryOvercommitted = least { it.memoryOvercommitted }.toInt(),
        )
    }

    private fun row(result: ReplayResult, seed: String): String = format(
        result.deployment,
        result.policy,
        seed,
        result.answeredInTime,
        number(result.attainmentPerAccelerator),
        result.moves,
        number(result.worstTeamAttainment * PERCENT),
        number(result.medianTeamAttainment * PERCENT),
        number(result.refusedInsideRatePart * PERCENT),
        result.tokens,
        result.crossRegionBytes,
        result.memoryOvercommitted,
    )

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.2f", value)

    private fun format(vararg cells: Any): String = String.format(Locale.ROOT, ROW, *cells).replace("\r\n", "\n")
}
