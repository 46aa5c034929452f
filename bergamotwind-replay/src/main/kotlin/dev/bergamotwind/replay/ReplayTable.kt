package dev.bergamotwind.replay

import java.util.Locale

/** Renders results as a plain-text table. */
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
            append(row(summarizeGroup(group) { sorted -> sorted[sorted.size / 2] }, "median"))
            append(row(summarizeGroup(group) { sorted -> sorted.last() }, "worst"))
        }
    }

    private fun summarizeGroup(group: List<ReplayResult>, select: (List<Double>) -> Double): ReplayResult {
        // Each figure is sorted from best to worst.
        fun higherIsBetter(figure: (ReplayResult) -> Number) = -select(group.map { -figure(it).toDouble() }.sorted())

        fun lowerIsBetter(figure: (ReplayResult) -> Number) = select(group.map { figure(it).toDouble() }.sorted())
        return group.first().copy(
            answeredInTime = higherIsBetter { it.answeredInTime }.toInt(),
            attainmentPerAccelerator = higherIsBetter { it.attainmentPerAccelerator },
            moves = lowerIsBetter { it.moves }.toInt(),
            worstTeamAttainment = higherIsBetter { it.worstTeamAttainment },
            medianTeamAttainment = higherIsBetter { it.medianTeamAttainment },
            refusedInsideRatePart = lowerIsBetter { it.refusedInsideRatePart },
            tokens = higherIsBetter { it.tokens }.toLong(),
            crossRegionBytes = lowerIsBetter { it.crossRegionBytes }.toLong(),
            memoryOvercommitted = lowerIsBetter { it.memoryOvercommitted }.toInt(),
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
