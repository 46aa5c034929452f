package dev.bergamotwind.routing

import arrow.core.Either
import dev.bergamotwind.api.Failure
import kotlin.random.Random

/**
 * Selects targets from [table] by [policy], an instance that no other selector may use. Deterministic for a given
 * clock and random seed.
 */
public class TargetSelector(
    private val table: TargetTable,
    private val policy: TargetSelectionPolicy = ScoredPolicy(Random.Default),
) {
    /**
     * Returns the target for [query]. Fails as not run with [Failure.Unavailable] when no target can serve it. The
     * caller reports the call to the table with [TargetTable.recordCallStart], [TargetTable.recordFirstToken] and
     * [TargetTable.recordCallEnd].
     */
    public fun select(query: TargetQuery): Either<Failure, TargetChoice> = table.selectTarget(query, policy)
}
