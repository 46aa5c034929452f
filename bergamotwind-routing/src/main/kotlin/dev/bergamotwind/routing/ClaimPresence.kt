package dev.bergamotwind.routing

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.LeaseId
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Transaction
import kotlin.time.Duration

/**
 * A record under a short lease that shows this process to be alive while it makes claims. It only chooses between the
 * answers in_progress and unknown; neither lets a call run again, so an error in it is harmless.
 */
internal class ClaimPresence(
    private val service: KeyValueService,
    private val clock: Clock,
    /** Key of this process's presence record. */
    val key: String,
) : AutoCloseable {
    private var lease: LeaseId? = null
    private var lastClaimNanos: Long? = null
    private var attemptNanos: Long? = null

    /** Notes a claim and writes the record if there is none. */
    @Synchronized
    fun claiming() {
        lastClaimNanos = clock.monotonicNanos()
        if (lease == null && elapsed(attemptNanos, PRESENCE_ATTEMPT_INTERVAL)) renew()
    }

    /** Renews the record when that is due. */
    @Synchronized
    fun maintain() {
        if (lastClaimNanos == null) return
        if (elapsed(lastClaimNanos, PRESENCE_IDLE_LIMIT)) {
            close()
        } else if (elapsed(
                attemptNanos,
                if (lease ==
                    null
                ) {
                    PRESENCE_ATTEMPT_INTERVAL
                } else {
                    PRESENCE_KEEP_ALIVE_INTERVAL
                },
            )
        ) {
            renew()
        }
    }

    /** Ends the record. */
    @Synchronized
    override fun close() {
        lease?.let(service::revokeLease)
        lease = null
        lastClaimNanos = null
    }

    /** Whether the process with presence record [holder] is alive. */
    fun isAlive(holder: String): Either<Failure, Boolean> =
        if (holder == key) true.right() else service.get(holder).map { it != null }

    private fun renew() {
        attemptNanos = clock.monotonicNanos()
        val held = lease
        val renewed = if (held != null) service.keepAlive(held).map { held } else written()
        renewed.fold({ if (it is Failure.LeaseExpired) lease = null }, { lease = it })
    }

    private fun elapsed(sinceNanos: Long?, limit: Duration): Boolean =
        sinceNanos == null || clock.monotonicNanos() - sinceNanos >= limit.inWholeNanoseconds

    private fun written(): Either<Failure, LeaseId> = service.grantLease(PRESENCE_TIME_TO_LIVE).flatMap { granted ->
        service.transact(Transaction(emptyList(), listOf(Operation.Put(key, "", granted)))).map { granted }
    }
}
