package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.TargetId

/** A planned change of the artifacts on a target. */
public sealed interface PlacementMove {
    /** Target on which the artifact is loaded or unloaded. */
    public val target: TargetId

    /** Artifact to load or unload. */
    public val artifact: Artifact

    /** Loads [artifact] after [memory] has been reserved for it. */
    public data class Load(override val target: TargetId, override val artifact: Artifact, val memory: Mebibytes) :
        PlacementMove

    /**
     * Unloads [artifact]. [remainingCopyTarget] is a target with another confirmed copy of the model. Its ledger must
     * be unchanged when the unload is recorded, so that two owners cannot each rely on the copy that the other unloads.
     * It is null for adapters and for models that are not configured.
     */
    public data class Unload(
        override val target: TargetId,
        override val artifact: Artifact,
        val remainingCopyTarget: TargetId? = null,
    ) : PlacementMove
}
