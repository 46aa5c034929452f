package dev.bergamotwind.serving.targets

import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.RegionId

/** Round-trip times from this VM that are assumed before anything was measured. */
public class RoundTripEstimates(private val own: FailureDomainId, private val regions: Map<FailureDomainId, RegionId>) {
    /** True when [other] is in the region of this VM. */
    public fun isSameRegion(other: FailureDomainId): Boolean =
        other == own || (regions[other] != null && regions[other] == regions[own])

    /** Milliseconds of a round trip to [other]. */
    public fun roundTripMillis(other: FailureDomainId): Double = when {
        other == own -> SAME_DOMAIN_MILLIS
        isSameRegion(other) -> SAME_REGION_MILLIS
        else -> OTHER_REGION_MILLIS
    }
}
