package dev.bergamotwind.configuration

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import kotlinx.serialization.Serializable

/**
 * A target. [address] is `IP:PORT`. [memory] and [accelerators] apply to engines only; [route] is the plain service of
 * a service replica. [checksFencing] is whether the engine rejects orders with an outdated fencing number.
 */
@Serializable
public data class Target(
    val id: TargetId,
    val kind: TargetKind,
    val failureDomain: FailureDomainId,
    val address: String,
    val memory: Mebibytes = Mebibytes(0),
    val accelerators: Int = 0,
    val checksFencing: Boolean = false,
    val route: RouteId? = null,
    val leaving: Boolean = false,
)
