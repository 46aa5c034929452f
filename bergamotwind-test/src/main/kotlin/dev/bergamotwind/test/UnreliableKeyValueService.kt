package dev.bergamotwind.test

import arrow.core.Either
import arrow.core.left
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.TransactionResult
import kotlin.random.Random

/**
 * Key-value client with random faults: outages, responses that are lost after a write took effect, and writes that are
 * reported with an unknown outcome and take effect later.
 */
public class UnreliableKeyValueService private constructor(
    private val service: KeyValueService,
    private val faults: KeyValueFaults,
    private val random: Random,
) : KeyValueService by service {
    private val delayedWrites = mutableListOf<Transaction>()
    private var delayProbability = 0.0

    override fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        if (random.nextDouble() >= delayProbability) return service.transact(transaction)
        delayedWrites += transaction
        return Failure.OutcomeUnknown("the write is delayed").left()
    }

    /** Selects a new random set of faults. */
    public fun randomizeFaults() {
        faults.available = random.nextInt(4) != 0
        val lossProbability = if (random.nextBoolean()) random.nextDouble(0.6) else 0.0
        faults.loseAnswer = { random.nextDouble() < lossProbability }
        delayProbability = if (random.nextBoolean()) random.nextDouble(0.4) else 0.0
    }

    /** Applies the delayed writes in random order. */
    public fun applyDelayedWrites() {
        delayedWrites.shuffled(random).forEach(service::transact)
        delayedWrites.clear()
    }

    /** Creates clients. */
    public companion object {
        /** Returns a client of [service] that has no faults yet. */
        public fun of(service: InMemoryKeyValueService, random: Random): UnreliableKeyValueService {
            val faults = KeyValueFaults()
            return UnreliableKeyValueService(service.client(faults), faults, random)
        }
    }
}
