package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.targets.LoadShare
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What one VM tells the others several times a second. Later beats replace earlier ones, so a lost one does no harm.
 * Labels instead of names keep a beat small, because bytes between regions are paid for.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class PeerHeartbeat(
    @CborLabel(0)
    val vm: VmId,
    /** Start of the sender's process; a larger one is a later start. */
    @CborLabel(1)
    val incarnation: Long,
    @CborLabel(2)
    val number: Long,
    /** Units admitted since the sender's start, by team. */
    @CborLabel(3)
    val spent: Map<TeamId, Double> = emptyMap(),
    /** What the sender has under way, by target. */
    @CborLabel(4)
    val loads: Map<TargetId, LoadShare> = emptyMap(),
    @CborLabel(5)
    val demand: Map<ModelId, ModelDemand> = emptyMap(),
    /** Adapters that requests at the sender wait for. */
    @CborLabel(6)
    val wanted: List<AdapterUse> = emptyList(),
    /** Adapters that were used since the last beat. */
    @CborLabel(7)
    val used: List<AdapterUse> = emptyList(),
    /** Term of the sender as holder of orders, or 0. */
    @CborLabel(8)
    val term: Long = 0,
    /** What targets hold; only from the holder of orders. */
    @CborLabel(9)
    val holdings: List<TargetHoldings> = emptyList(),
    /** Models that are being loaded; only from the holder of orders. */
    @CborLabel(10)
    val expected: List<ExpectedModel> = emptyList(),
    /** Units that each team may still use, while a VM has just started. */
    @CborLabel(11)
    val levels: Map<TeamId, Double> = emptyMap(),
    /** The term that the sender has ended lately, or null. */
    @CborLabel(12)
    val ended: EndedTerm? = null,
)
