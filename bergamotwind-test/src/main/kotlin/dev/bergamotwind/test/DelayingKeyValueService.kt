package dev.bergamotwind.test

import arrow.core.Either
import arrow.core.left
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.TransactionResult
import kotlin.random.Random

/** A client that reports some writes as lost before they take effect; [deliver] lets them take effect. */
public class DelayingKeyValueService(private val service: KeyValueService, private val random: Random) :
    KeyValueService by service {
    private val late = mutableListOf<Transaction>()

    /** Share of the writes that are late. */
    public var lateShare: Double = 0.0

    override fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        if (random.nextDouble() >= lateShare) return service.transact(transaction)
        late += transaction
        return Failure.OutcomeUnknown("the write is late").left()
    }

    /** Lets the late writes take effect in random order. */
    public fun deliver() {
        late.shuffled(random).forEach(service::transact)
        late.clear()
    }
}
