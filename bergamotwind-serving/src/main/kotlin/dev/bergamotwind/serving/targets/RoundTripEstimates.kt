package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.RegionId

/** Assumed round-trip times from this VM, by failure domain. */
public class RoundTripEstimates(
    private val ownDomain: FailureDomainId,
    private val regions: Map<FailureDomainId, RegionId>,
) {
    /** True when [other] is in the region of this VM. */
    public fun isSameRegion(other: FailureDomainId): Boolean =
        other == ownDomain || (regions[other] != null && regions[other] == regions[ownDomain])

    /** Round-trip milliseconds to [other]. */
    public fun roundTripMillis(other: FailureDomainId): Double = when {
        other == ownDomain -> SAME_DOMAIN_MILLIS
        isSameRegion(other) -> SAME_REGION_MILLIS
        else -> OTHER_REGION_MILLIS
    }
}
