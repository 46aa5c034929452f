package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.crash.PromptPartReport
import dev.bergamotwind.serving.targets.InFlightLoad
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * The state that a VM sends to the other VMs several times a second. Each heartbeat replaces the earlier ones, so a
 * lost one does no harm. Numeric labels instead of names keep it small, because traffic between regions is charged for.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class PeerHeartbeat(
    @CborLabel(0)
    val vm: VmId,
    /** Start time of the sender's process; a larger one is a later start. */
    @CborLabel(1)
    val incarnation: Long,
    @CborLabel(2)
    val sequence: Long,
    /** Units admitted since the sender's start, by team. */
    @CborLabel(3)
    val admittedUnits: Map<TeamId, Double> = emptyMap(),
    /** The sender's running requests, by target. */
    @CborLabel(4)
    val loads: Map<TargetId, InFlightLoad> = emptyMap(),
    @CborLabel(5)
    val demand: Map<ModelId, ModelDemand> = emptyMap(),
    /** Adapters that requests at the sender wait for. */
    @CborLabel(6)
    val wantedAdapters: List<AdapterUse> = emptyList(),
    /** Adapters that were used since the last heartbeat. */
    @CborLabel(7)
    val usedAdapters: List<AdapterUse> = emptyList(),
    /** The sender's term as the placement holder, or 0. */
    @CborLabel(8)
    val term: Long = 0,
    /** What targets hold; sent only by the placement holder. */
    @CborLabel(9)
    val holdings: List<TargetHoldings> = emptyList(),
    /** Models that are being loaded; sent only by the placement holder. */
    @CborLabel(10)
    val expectedModels: List<ExpectedModel> = emptyList(),
    /** Units that each team may still use; sent while a VM has just started. */
    @CborLabel(11)
    val remainingUnits: Map<TeamId, Double> = emptyMap(),
    /** The term that the sender has recently ended, or null. */
    @CborLabel(12)
    val endedTerm: EndedTerm? = null,
    /** Prompt parts that may crash engines, as far as something has changed. */
    @CborLabel(13)
    val promptParts: List<PromptPartReport> = emptyList(),
    /** Limits that targets have named, with the requests that the sender has sent under them. */
    @CborLabel(14)
    val sendLimits: Map<TargetId, SendLimitReport> = emptyMap(),
)
