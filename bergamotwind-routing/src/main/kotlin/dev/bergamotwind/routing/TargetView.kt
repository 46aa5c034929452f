package dev.bergamotwind.routing

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.configuration.Target

/** What a [TargetSelectionPolicy] sees of a candidate. Valid only during the call. */
public interface TargetView {
    /** The target as configured. */
    public val target: Target

    /** Region of the target. */
    public val region: RegionId?

    /** State in `target.toml`. */
    public val state: String

    /** Requests of this node that are in flight at the target. */
    public val inFlight: Int

    /** Running requests: the last report, corrected by own starts and ends since. */
    public val running: Int

    /** Queued requests: the last report, corrected by own starts and ends since. */
    public val queued: Int

    /** Predicted time to first token or first byte of one more request, queueing included, in nanoseconds. */
    public val predictedFirstTokenNanos: Long

    /** State of [adapter] on the engine, or null when it is absent. */
    public fun adapterState(adapter: AdapterId): ArtifactState?

    /** Whether the engine has reported the prefix as cached. A late or lost cache event only means a cache miss. */
    public fun isWarm(prefixHash: String): Boolean
}
