package dev.bergamotwind.configuration

import arrow.core.Either
import arrow.core.left
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.TransactionResult
import dev.bergamotwind.api.WatchListener
import dev.bergamotwind.test.InMemoryKeyValueService
import java.util.concurrent.CopyOnWriteArrayList

/** Fault injected into a transaction. */
enum class TransactionFault { NONE, RESPONSE_LOST, REQUEST_LOST, REQUEST_DELAYED }

/** Runs [beforeTransaction] ahead of each transaction and injects [nextFault]; [delayed] collects delayed requests. */
class InterleavedKeyValueService(
    private val delegate: KeyValueService,
    private val beforeTransaction: () -> Unit,
    private val delayed: MutableList<Transaction> = mutableListOf(),
    private val nextFault: () -> TransactionFault = { TransactionFault.NONE },
) : KeyValueService by delegate {
    override fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        beforeTransaction()
        when (nextFault()) {
            TransactionFault.NONE -> return delegate.transact(transaction)
            TransactionFault.RESPONSE_LOST -> delegate.transact(transaction)
            TransactionFault.REQUEST_LOST -> Unit
            TransactionFault.REQUEST_DELAYED -> delayed += transaction
        }
        return Failure.OutcomeUnknown("the response was lost").left()
    }
}

/** Returns a list that records every change as it is written, including those trimmed later. */
fun recordChanges(service: InMemoryKeyValueService): List<ConfigurationChange> {
    val written = CopyOnWriteArrayList<ConfigurationChange>()
    val listener = object : WatchListener {
        override fun written(entries: List<KeyValueEntry>) {
            written += entries.map { ConfigurationJson.decodeFromString(ConfigurationChange.serializer(), it.value) }
        }

        override fun ended() = Unit
    }
    service.client().watch(ConfigurationKeys.CHANGE_PREFIX, Revision(0), listener)
    return written
}

fun putModel(id: Int) = ConfigurationEdit.PutModel(Model(ModelId("m$id"), "1", Mebibytes(1)))

fun <T> Either<Failure, T>.orFail(): T = fold({ error("$it") }, { it })
