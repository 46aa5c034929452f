package dev.bergamotwind.routing

import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.ArtifactState
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.configuration.Target

/** Read-only state of a candidate for a [TargetSelectionPolicy]. Valid only during the call to the policy. */
public interface TargetView {
    /** The target as configured. */
    public val target: Target

    /** Region of the target. */
    public val region: RegionId?

    /** State in the state chart `target.toml`. */
    public val state: String

    /** Requests of this node that are in flight at the target. */
    public val inFlight: Int

    /** Running requests: the last report, corrected by the starts and ends of this node's own calls since then. */
    public val running: Int

    /** Queued requests: the last report, corrected by the starts and ends of this node's own calls since then. */
    public val queued: Int

    /** Predicted time to first token or first byte of an additional request, including queueing, in nanoseconds. */
    public val predictedFirstTokenNanos: Long

    /** State of [adapter] on the engine, or null when the engine does not hold it. */
    public fun adapterState(adapter: AdapterId): ArtifactState?

    /** Whether the engine has reported the prefix as cached. A late or lost cache event only leads to a cache miss. */
    public fun hasWarmPrefix(prefixHash: String): Boolean
}
