package dev.bergamotwind.test

import arrow.core.Either
import arrow.core.left
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.TransactionResult
import kotlin.random.Random

/**
 * A client with random faults: outages, responses that are lost after a write took effect, and writes that are
 * reported as lost and take effect later.
 */
public class UnreliableKeyValueService private constructor(
    private val service: KeyValueService,
    private val faults: KeyValueFaults,
    private val random: Random,
) : KeyValueService by service {
    private val late = mutableListOf<Transaction>()
    private var lateShare = 0.0

    override fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        if (random.nextDouble() >= lateShare) return service.transact(transaction)
        late += transaction
        return Failure.OutcomeUnknown("the write is late").left()
    }

    /** Draws other faults. */
    public fun disturb() {
        faults.available = random.nextInt(4) != 0
        val lostShare = if (random.nextBoolean()) random.nextDouble(0.6) else 0.0
        faults.loseAnswer = { random.nextDouble() < lostShare }
        lateShare = if (random.nextBoolean()) random.nextDouble(0.4) else 0.0
    }

    /** Lets the late writes take effect in random order. */
    public fun deliver() {
        late.shuffled(random).forEach(service::transact)
        late.clear()
    }

    /** Makes clients. */
    public companion object {
        /** Returns a client of [service] that has no faults yet. */
        public fun of(service: InMemoryKeyValueService, random: Random): UnreliableKeyValueService {
            val faults = KeyValueFaults()
            return UnreliableKeyValueService(service.client(faults), faults, random)
        }
    }
}
