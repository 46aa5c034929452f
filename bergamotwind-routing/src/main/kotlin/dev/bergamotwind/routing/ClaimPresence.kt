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
 * Presence record of this process under a short lease, which shows that the process is alive while it makes claims. It
 * only decides between the answers in_progress and unknown. Neither lets a call run again, so an error in it is
 * harmless.
 */
internal class ClaimPresence(
    private val service: KeyValueService,
    private val clock: Clock,
    /** Key of this process's presence record. */
    val key: String,
) : AutoCloseable {
    private var lease: LeaseId? = null
    private var lastClaimNanos: Long? = null
    private var lastAttemptNanos: Long? = null

    /** Records the time of a claim and writes the presence record if there is none. */
    @Synchronized
    fun recordClaim() {
        lastClaimNanos = clock.monotonicNanos()
        if (lease == null && hasElapsed(lastAttemptNanos, PRESENCE_ATTEMPT_INTERVAL)) renewLease()
    }

    /** Renews the presence record when its keep-alive is due; ends it when the process no longer makes claims. */
    @Synchronized
    fun renewIfDue() {
        if (lastClaimNanos == null) return
        if (hasElapsed(lastClaimNanos, PRESENCE_IDLE_LIMIT)) {
            close()
        } else if (hasElapsed(
                lastAttemptNanos,
                if (lease ==
                    null
                ) {
                    PRESENCE_ATTEMPT_INTERVAL
                } else {
                    PRESENCE_KEEP_ALIVE_INTERVAL
                },
            )
        ) {
            renewLease()
        }
    }

    /** Deletes the presence record by revoking its lease. */
    @Synchronized
    override fun close() {
        lease?.let(service::revokeLease)
        lease = null
        lastClaimNanos = null
    }

    /** Whether the process with presence record [holder] is alive. */
    fun isAlive(holder: String): Either<Failure, Boolean> =
        if (holder == key) true.right() else service.get(holder).map { it != null }

    private fun renewLease() {
        lastAttemptNanos = clock.monotonicNanos()
        val held = lease
        val renewed = if (held != null) service.keepAlive(held).map { held } else createRecord()
        renewed.fold({ if (it is Failure.LeaseExpired) lease = null }, { lease = it })
    }

    private fun hasElapsed(sinceNanos: Long?, limit: Duration): Boolean =
        sinceNanos == null || clock.monotonicNanos() - sinceNanos >= limit.inWholeNanoseconds

    private fun createRecord(): Either<Failure, LeaseId> =
        service.grantLease(PRESENCE_TIME_TO_LIVE).flatMap { granted ->
            service.transact(Transaction(emptyList(), listOf(Operation.Put(key, "", granted)))).map { granted }
        }
}
