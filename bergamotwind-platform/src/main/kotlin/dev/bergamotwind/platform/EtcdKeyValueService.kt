package dev.bergamotwind.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueEntry
import dev.bergamotwind.api.KeyValueListing
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction
import dev.bergamotwind.api.TransactionResult
import dev.bergamotwind.api.WatchListener
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The platform's key-value service through the published etcd v3 JSON API. Nothing is repeated after it may have
 * taken effect, except keep-alives and revocations of leases, which may be repeated.
 */
public class EtcdKeyValueService(private val client: PlatformClient) : KeyValueService {
    override fun get(key: String): Either<Failure, KeyValueEntry?> =
        range(RangeRequest(EtcdCodec.encode(key))).map { it.kvs.firstOrNull()?.let(EtcdCodec::entry) }

    override fun list(range: KeyRange): Either<Failure, KeyValueListing> = range(EtcdCodec.range(range)).map {
        KeyValueListing(it.kvs.map(EtcdCodec::entry), Revision(it.header.revision.toLong()))
    }

    private fun range(request: RangeRequest): Either<Failure, RangeResponse> =
        client.call(CallKind.RANGE, EtcdCodec.json.encodeToString(request))
            .flatMap { EtcdCodec.decode<RangeResponse>(it.contentUtf8()) }

    override fun transact(transaction: Transaction): Either<Failure, TransactionResult> {
        val puts = transaction.operations.filterIsInstance<Operation.Put>()
        puts.firstOrNull { it.value.toByteArray().size > MAXIMUM_VALUE_BYTES }?.let { return tooLarge(it).left() }
        val request = EtcdCodec.json.encodeToString(EtcdCodec.transaction(transaction))
        return client.call(CallKind.TRANSACT, request)
            .mapLeft { failure -> puts.firstNotNullOfOrNull { it.lease }?.let { leaseGone(it, failure) } ?: failure }
            .flatMap { written<TransactionResponse>(it.contentUtf8()) }
            .map { TransactionResult(it.succeeded, Revision(it.header.revision.toLong())) }
    }

    // The protocol counts a lease's time in whole seconds.
    override fun grantLease(timeToLive: Duration): Either<Failure, LeaseId> {
        val seconds = (timeToLive + 1.seconds - 1.milliseconds).inWholeSeconds
        return client.call(CallKind.GRANT_LEASE, EtcdCodec.json.encodeToString(LeaseMessage("0", "$seconds")))
            .flatMap { written<LeaseMessage>(it.contentUtf8()) }
            .map { LeaseId(it.id.toLong()) }
    }

    override fun keepAlive(lease: LeaseId): Either<Failure, Duration> =
        client.call(CallKind.KEEP_ALIVE, EtcdCodec.json.encodeToString(LeaseMessage("$lease")))
            .mapLeft { leaseGone(lease, it) }
            .flatMap { written<KeepAliveResponse>(it.contentUtf8()) }
            .flatMap { answer ->
                val seconds = answer.result.timeToLiveSeconds?.toLong() ?: 0
                if (seconds > 0) seconds.seconds.right() else Failure.LeaseExpired(lease).left()
            }

    // A lease that is gone already is what the caller wanted.
    override fun revokeLease(lease: LeaseId): Either<Failure, Unit> =
        client.call(CallKind.REVOKE_LEASE, EtcdCodec.json.encodeToString(LeaseMessage("$lease")))
            .fold({ if (it is Failure.NotFound) Unit.right() else it.left() }, { Unit.right() })

    override fun watch(
        prefix: String,
        fromRevision: Revision,
        listener: WatchListener,
    ): Either<Failure, AutoCloseable> = client.take(CallKind.WATCH).flatMap {
        EtcdWatch(client, EtcdCodec.json.encodeToString(EtcdCodec.watch(prefix, fromRevision)), listener).open()
    }

    // An answer that cannot be read leaves the write's outcome open.
    private inline fun <reified T> written(text: String): Either<Failure, T> =
        EtcdCodec.decode<T>(text).mapLeft { Failure.OutcomeUnknown(it.message) }

    private fun leaseGone(lease: LeaseId, failure: Failure): Failure =
        if (failure is Failure.NotFound) Failure.LeaseExpired(lease) else failure

    private fun tooLarge(put: Operation.Put) = Failure.Invalid(
        "the value of ${put.key} is larger than $MAXIMUM_VALUE_BYTES bytes",
        "Split the value over several keys.",
    )
}
