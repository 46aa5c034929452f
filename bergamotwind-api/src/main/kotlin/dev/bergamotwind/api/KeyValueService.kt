package dev.bergamotwind.api

import arrow.core.Either
import kotlin.time.Duration

/**
 * The platform's key-value service. Calls block, so they belong on duty threads or blocking executors.
 *
 * Errors: [Failure.Unavailable] when nothing was written, [Failure.OutcomeUnknown] when a write may have taken
 * effect, [Failure.LeaseExpired] when a lease is gone.
 */
public interface KeyValueService {
    /** Returns the record at [key], or null if there is none. */
    public fun get(key: String): Either<Failure, KeyValueEntry?>

    /** Returns the records in [range]. */
    public fun list(range: KeyRange): Either<Failure, KeyValueListing>

    /** Applies [transaction] if its compares hold. */
    public fun transact(transaction: Transaction): Either<Failure, TransactionResult>

    /** Grants a lease that ends [timeToLive] after the last keep-alive. */
    public fun grantLease(timeToLive: Duration): Either<Failure, LeaseId>

    /** Extends [lease] and returns its new time to live, which counts from before the call was sent. */
    public fun keepAlive(lease: LeaseId): Either<Failure, Duration>

    /** Ends [lease] and deletes its records. */
    public fun revokeLease(lease: LeaseId): Either<Failure, Unit>

    /**
     * Watches keys under [prefix] from [fromRevision] on, or from now on if it is 0, until the result is closed.
     * Counts as one waiting call.
     */
    public fun watch(prefix: String, fromRevision: Revision, listener: WatchListener): Either<Failure, AutoCloseable>
}
