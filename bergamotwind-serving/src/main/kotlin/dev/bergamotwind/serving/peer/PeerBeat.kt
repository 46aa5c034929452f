package dev.bergamotwind.serving.peer

import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.VmId
import dev.bergamotwind.serving.target.LoadShare
import kotlinx.serialization.Serializable

/** What one VM tells the others several times a second. Later beats replace earlier ones, so a lost one does no harm. */
@Serializable
internal data class PeerBeat(
    val vm: VmId,
    /** Start of the sender's process; a larger one is a later start. */
    val incarnation: Long,
    val number: Long,
    /** Units admitted since the sender's start, by team. */
    val spent: Map<TeamId, Double> = emptyMap(),
    /** What the sender has under way, by target. */
    val loads: Map<TargetId, LoadShare> = emptyMap(),
    val demand: Map<ModelId, ModelDemand> = emptyMap(),
    /** Adapters that requests at the sender wait for. */
    val wanted: List<AdapterUse> = emptyList(),
    /** Adapters that were used since the last beat. */
    val used: List<AdapterUse> = emptyList(),
    /** Term of the sender as holder of orders, or 0. */
    val term: Long = 0,
    /** What targets hold; only from the holder of orders. */
    val holdings: List<TargetHoldings> = emptyList(),
    /** Models that are being loaded; only from the holder of orders. */
    val expected: List<ExpectedModel> = emptyList(),
)
