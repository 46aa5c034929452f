package dev.bergamotwind.serving.call

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.core.AnswerMemory
import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.crash.EngineCrashDetector
import dev.bergamotwind.serving.crash.PromptQuarantine
import dev.bergamotwind.serving.placement.DemandMeter
import dev.bergamotwind.serving.rate.FleetRateLimiter
import dev.bergamotwind.serving.targets.TargetPicker
import dev.bergamotwind.serving.targets.TargetStatements
import kotlin.random.Random

/** State and services that all calls of a VM share. */
internal interface ServingContext {
    val loop: ServingLoop
    val random: Random
    val recorder: EventRecorder
    val configuration: ServedConfiguration?

    /** True while the first read of the store is in progress and has not failed, so a configuration is due at once. */
    val isReadingConfiguration: Boolean
    val picker: TargetPicker

    /** What targets have stated about themselves. */
    val statements: TargetStatements
    val transport: TargetTransport

    /** Bounds what is kept of all answers. */
    val answerMemory: AnswerMemory
    val rateLimiter: FleetRateLimiter
    val waitingCalls: WaitingCalls
    val demand: DemandMeter
    val crashes: EngineCrashDetector
    val quarantine: PromptQuarantine

    /** True once the VM has been told to stop. */
    val isStopping: Boolean

    /** Milliseconds for which calls may still run at a stopping VM, or null when it is not stopping. */
    val shutdownRemainingMillis: Long?

    /** True once a stopping VM refuses new calls. */
    val refusesNewCalls: Boolean

    /** Provides the headers of refusals. */
    val refusalHeaders: RefusalHeaders

    /** Returns the number of connections that this VM may open to a target that accepts [limit] connections. */
    fun connectionShare(limit: Int): Int

    /** Counts a request for [service] towards its retry budget. */
    fun recordRequest(service: ServiceId)

    /** Takes a retry for [service] from the budget; false when the budget is used up. */
    fun tryTakeRetry(service: ServiceId): Boolean

    /** Asks the placement holder to load the adapter that [handler] waits for. */
    fun requestAdapter(handler: CallHandler)

    /** Records that the call of [handler] uses an adapter at a target. */
    fun recordAdapterUse(handler: CallHandler)

    /** Milliseconds until the model of [modelRequest], which no target has loaded, is expected; null when unknown. */
    fun expectedLoadMillis(modelRequest: ModelRequest): Long?

    /** Dispatches the waiting calls soon. */
    fun scheduleWakeUp()

    /** The call of [handler] has ended. */
    fun onCallEnded(handler: CallHandler)
}
