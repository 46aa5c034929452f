package dev.bergamotwind.serving.call

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.placement.DemandMeter
import dev.bergamotwind.serving.rate.FleetRateLimiter
import dev.bergamotwind.serving.targets.TargetPicker
import kotlin.random.Random

/** What all calls of a VM share. */
internal interface ServingContext {
    val loop: ServingLoop
    val random: Random
    val recorder: EventRecorder
    val configuration: ServedConfiguration?
    val picker: TargetPicker
    val transport: TargetTransport
    val rates: FleetRateLimiter
    val waitingRoom: WaitingCalls
    val demand: DemandMeter

    /** True once the VM has been told to stop. */
    val isStopping: Boolean

    /** Milliseconds for which requests may still run at a stopping VM, or null. */
    val stopMillis: Long?

    /** True once a stopping VM refuses requests that arrive. */
    val refusesNew: Boolean

    /** Headers of refusals. */
    val refusalHeaders: RefusalHeaders

    /** Connections that this VM may open to one target that accepts [limit]. */
    fun connectionShare(limit: Int): Int

    /** A request for [service] has arrived. */
    fun requested(service: ServiceId)

    /** Takes a retry for [service] from the budget. */
    fun tryRetry(service: ServiceId): Boolean

    /** Asks the holder of orders for the adapter that [run] waits for. */
    fun wantAdapter(run: CallHandler)

    /** A request uses an adapter at a target. */
    fun usedAdapter(run: CallHandler)

    /** Milliseconds until a model that no target holds is expected to be there, or null when nothing is known. */
    fun expectedMillis(work: ModelRequest): Long?

    /** [run] is over. */
    fun ended(run: CallHandler)
}
