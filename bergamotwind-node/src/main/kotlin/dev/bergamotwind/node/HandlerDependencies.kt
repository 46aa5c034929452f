package dev.bergamotwind.node

import dev.bergamotwind.admission.AdmissionController
import dev.bergamotwind.admission.KeyAuthenticator
import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.InvariantMonitor
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.configuration.AppliedConfiguration
import dev.bergamotwind.configuration.LimitSettings
import dev.bergamotwind.routing.ClaimStore
import dev.bergamotwind.routing.RetryBudget
import dev.bergamotwind.routing.TargetSelector
import dev.bergamotwind.routing.TargetTable
import kotlinx.coroutines.CoroutineDispatcher

/** Components and settings shared by the handlers of callers' requests. */
internal data class HandlerDependencies(
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val clock: Clock,
    val monitor: InvariantMonitor,
    val recorder: EventRecorder,
    val lifecycle: ProcessLifecycle,
    val appliedConfiguration: AppliedConfiguration,
    val authenticator: () -> KeyAuthenticator,
    val admission: AdmissionController,
    val targetTable: TargetTable,
    val targetSelector: TargetSelector,
    val claimStore: ClaimStore,
    val retryBudget: RetryBudget,
    val targetClient: TargetClient,
    val activeRequests: ActiveRequests,
    val limits: LimitSettings,
    /** Runs calls that block on the key-value service. */
    val blockingDispatcher: CoroutineDispatcher,
    /** Reports the demand of a request to placement, before the admission decision. */
    val recordDemand: (DemandObservation) -> Unit,
)
