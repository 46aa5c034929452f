package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.left
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.TransactionResult
import kotlin.random.Random

/** Sometimes reports a write as lost before it takes effect; [deliver] lets the late writes take effect. */
class DelayingKeyValueService(private val service: KeyValueService, private val random: Random) :
    KeyValueService by service {
    private val late = mutableListOf<Transaction>()
    var lateShare = 0.0

    override fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        if (random.nextDouble() >= lateShare) return service.transact(transaction)
        late += transaction
        return Failure.OutcomeUnknown("the write is late").left()
    }

    fun deliver() {
        late.shuffled(random).forEach(service::transact)
        late.clear()
    }
}
