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

/** What the handlers of callers' requests share. */
internal data class ServingParts(
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val clock: Clock,
    val monitor: InvariantMonitor,
    val recorder: EventRecorder,
    val life: ProcessLife,
    val applied: AppliedConfiguration,
    val authenticator: () -> KeyAuthenticator,
    val admission: AdmissionController,
    val table: TargetTable,
    val selector: TargetSelector,
    val claims: ClaimStore,
    val retries: RetryBudget,
    val client: TargetClient,
    val exchanges: ActiveExchanges,
    val limits: LimitSettings,
    /** Runs calls that block on the key-value service. */
    val blocking: CoroutineDispatcher,
    /** Tells placement what is asked for, whether it is admitted or not. */
    val observeDemand: (DemandObservation) -> Unit,
)
