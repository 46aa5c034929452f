package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.StepGuard
import kotlin.random.Random

/**
 * The lease of this VM: its registration and everything else that it holds in the store expires with it. The lease
 * counts as valid for its time to live minus a margin, by two clocks: the monotonic one may stand still while the VM is
 * suspended, and the wall clock may be set back. Used on the serving loop.
 */
public class VmLease(
    private val store: FleetStore,
    private val loop: ServingLoop,
    private val timeToLiveMillis: Long,
    private val random: Random,
    private val recorder: EventRecorder,
) {
    private val guard = StepGuard(recorder)
    private var lease: StoreLease? = null
    private var confirmedMillis = 0L
    private var confirmedWallMillis = 0L
    private var failures = 0
    private var isStopped = false

    /** Called with the id of each new lease; the VM must write its registration again. */
    public var onGranted: ((Long) -> Unit)? = null

    /** Called when the store reports that the lease has expired. */
    public var onExpired: (() -> Unit)? = null

    /** Called after each renewal. */
    public var onRenewed: (() -> Unit)? = null

    /** Called when the store has answered a call after others had failed. */
    public var onRecovered: (() -> Unit)? = null

    /** Id of the lease, or null. */
    public val id: Long? get() = lease?.id

    /** Milliseconds since the lease was last known to be valid, or null when it never was. */
    public val ageMillis: Long?
        get() = lease?.let { maxOf(loop.nowMillis() - confirmedMillis, loop.wallMillis() - confirmedWallMillis) }

    /** True while nobody else can have acquired what this lease protects. */
    public val isValid: Boolean
        get() = lease?.let { (ageMillis ?: 0) < it.timeToLiveMillis - LEASE_MARGIN_MILLIS } ?: false

    /**
     * Gives up the lease and acquires another one, because the store has returned from an older copy: it may not know
     * the id, or may have given it to another client.
     */
    public fun onNewEra() {
        // Without a lease one is being acquired; an answer of the earlier era to that call is not used.
        val outdated = lease ?: return
        lease = null
        recorder.event("lease.outdated") { field("lease", outdated.id) }
        start()
        guard.runIsolated("expired lease") { onExpired?.invoke() }
    }

    /** Acquires the lease and keeps renewing it. */
    public fun start(): Unit = orRetry(::acquire)

    /** Revokes the lease; [done] is called in any case. */
    public fun release(done: () -> Unit) {
        isStopped = true
        val held = lease ?: return done()
        lease = null
        store.revokeLease(held.id) { done() }
    }

    private fun acquire() {
        if (isStopped) return
        val sentMillis = loop.nowMillis()
        val sentWallMillis = loop.wallMillis()
        store.grantLease(timeToLiveMillis) { result ->
            result.fold(
                { scheduleRetry(::acquire) },
                { granted ->
                    lease = granted
                    scheduleRenewal()
                    recordConfirmation(sentMillis, sentWallMillis)
                    recorder.event("lease.granted") { field("lease", granted.id) }
                    guard.runIsolated("new lease") { onGranted?.invoke(granted.id) }
                },
            )
        }
    }

    private fun renew() {
        val held = lease ?: return
        if (isStopped) return
        val sentMillis = loop.nowMillis()
        val sentWallMillis = loop.wallMillis()
        store.renewLease(held.id) { result ->
            if (lease !== held) return@renewLease
            result.fold(
                { failure -> onRenewalFailed(failure) },
                {
                    scheduleRenewal()
                    recordConfirmation(sentMillis, sentWallMillis)
                    guard.runIsolated("renewed lease") { onRenewed?.invoke() }
                },
            )
        }
    }

    private fun onRenewalFailed(failure: StoreFailure) {
        if (failure == StoreFailure.MISSING) {
            lease = null
            recorder.event("lease.ended") { field("age_millis", loop.nowMillis() - confirmedMillis) }
            acquire()
            guard.runIsolated("expired lease") { onExpired?.invoke() }
        } else {
            scheduleRetry(ofHeldLease(::renew))
        }
    }

    private fun recordConfirmation(sentMillis: Long, sentWallMillis: Long) {
        confirmedMillis = sentMillis
        confirmedWallMillis = sentWallMillis
        val isRecovery = failures > 0
        failures = 0
        if (isRecovery) guard.runIsolated("recovery of the lease") { onRecovered?.invoke() }
    }

    private fun scheduleRenewal() {
        val action = ofHeldLease(::renew)
        loop.schedule(timeToLiveMillis / RENEWALS_PER_LEASE) { orRetry(action) }
    }

    /** Returns [action] for the lease that is held now: it does nothing when another one is held by then. */
    private fun ofHeldLease(action: () -> Unit): () -> Unit {
        val held = lease
        return { if (lease === held) action() }
    }

    private fun scheduleRetry(action: () -> Unit) {
        failures++
        loop.schedule(Backoff.delayMillis(failures, random)) { orRetry(action) }
    }

    // A call that cannot be made must not be the last one.
    private fun orRetry(action: () -> Unit): Unit =
        guard.runOrElse("call for the lease", remedy = { scheduleRetry(action) }, action)
}
