package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.ServiceId
import dev.bergamotwind.api.TargetId
import java.net.InetSocketAddress

/** State of a target that it publishes in the platform's store. */
public data class TargetRecord(
    val id: TargetId,
    val service: ServiceId,
    val address: InetSocketAddress,
    val failureDomain: FailureDomainId,
    /** Number of requests that run concurrently. */
    val slots: Int,
    val lifecycle: TargetLifecycle,
    /** Unix time in milliseconds at which this incarnation started, or null; distinguishes starts under one id. */
    val startedWallMillis: Long?,
    /** Milliseconds for which the target is still slow after its start. */
    val coldMillis: Long,
    /** Loaded models, each with its adapters. */
    val models: Map<ModelId, Set<AdapterId>>,
    /** Models whose weights are in the target's host memory. */
    val modelsInMemory: Set<ModelId>,
    /** Models whose weights are on the target's disk. */
    val modelsOnDisk: Set<ModelId>,
)
