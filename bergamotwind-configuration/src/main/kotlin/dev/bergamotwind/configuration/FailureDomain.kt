package dev.bergamotwind.configuration

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.RegionId
import kotlinx.serialization.Serializable

/** A failure domain and its region. */
@Serializable
public data class FailureDomain(val id: FailureDomainId, val region: RegionId)
