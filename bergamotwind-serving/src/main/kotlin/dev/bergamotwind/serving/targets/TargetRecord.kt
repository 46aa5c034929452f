package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import java.net.InetSocketAddress

/** What a target says of itself in the platform's store. */
public data class TargetRecord(
    val id: TargetId,
    val service: ServiceId,
    val address: InetSocketAddress,
    val failureDomain: FailureDomainId,
    /** Requests that run at once. */
    val slots: Int,
    val lifecycle: TargetLifecycle,
    /** Unix time in milliseconds at which this incarnation started, or null; tells starts under one id apart. */
    val startedWallMillis: Long?,
    /** Milliseconds for which the target is still slow after its start. */
    val coldMillis: Long,
    /** Models held, each with its adapters. */
    val models: Map<ModelId, Set<AdapterId>>,
    /** Models whose weights are in the target's host memory. */
    val modelsInMemory: Set<ModelId>,
    /** Models whose weights are on the target's disk. */
    val modelsOnDisk: Set<ModelId>,
)
