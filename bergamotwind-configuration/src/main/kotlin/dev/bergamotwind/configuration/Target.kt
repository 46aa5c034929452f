package dev.bergamotwind.configuration

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import kotlinx.serialization.Serializable

/**
 * A target. [address] is `IP:PORT`. [memory] and [accelerators] concern engines; [route] names the plain service of a
 * service replica. [checksFencing] says whether the engine refuses orders with an old fencing number.
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
