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

/** What becomes of a transaction. */
enum class Fate { ANSWERED, ANSWER_LOST, REQUEST_LOST, REQUEST_LATE }

/** Runs [before] ahead of each transaction and lets [fate] lose or delay it; late ones are put into [late]. */
class InterleavedKeyValueService(
    private val inner: KeyValueService,
    private val before: () -> Unit,
    private val late: MutableList<Transaction> = mutableListOf(),
    private val fate: () -> Fate = { Fate.ANSWERED },
) : KeyValueService by inner {
    override fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        before()
        when (fate()) {
            Fate.ANSWERED -> return inner.transact(transaction)
            Fate.ANSWER_LOST -> inner.transact(transaction)
            Fate.REQUEST_LOST -> Unit
            Fate.REQUEST_LATE -> late += transaction
        }
        return Failure.OutcomeUnknown("the answer was lost").left()
    }
}

/** Returns a list to which every change is added as it is written, so that trimmed ones stay known. */
fun recordChanges(service: InMemoryKeyValueService): List<ConfigurationChange> {
    val written = CopyOnWriteArrayList<ConfigurationChange>()
    val listener = object : WatchListener {
        override fun written(entries: List<KeyValueEntry>) {
            written += entries.map { ConfigurationJson.decodeFromString(ConfigurationChange.serializer(), it.value) }
        }

        override fun ended() = Unit
    }
    service.client().watch(ConfigurationKeys.CHANGES, Revision(0), listener)
    return written
}

fun putModel(id: Int) = ConfigurationEdit.PutModel(Model(ModelId("m$id"), "1", Mebibytes(1)))

fun <T> Either<Failure, T>.orFail(): T = fold({ error("$it") }, { it })
