package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.TargetId

/** A change of what a target holds. */
public sealed interface Move {
    /** Target that changes. */
    public val target: TargetId

    /** What is loaded or unloaded. */
    public val artifact: Artifact

    /** Loads [artifact], for which [memory] is reserved first. */
    public data class Load(override val target: TargetId, override val artifact: Artifact, val memory: Mebibytes) :
        Move

    /**
     * Unloads [artifact]. [witness] holds another confirmed copy of the model; its ledger must be unchanged when the
     * unload is recorded, so that two owners cannot each rely on the copy that the other one removes. It is null for
     * adapters, models that are not configured, and copies that are not confirmed.
     */
    public data class Unload(
        override val target: TargetId,
        override val artifact: Artifact,
        val witness: TargetId? = null,
    ) : Move
}
