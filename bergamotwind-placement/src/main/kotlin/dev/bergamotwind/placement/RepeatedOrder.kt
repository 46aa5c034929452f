package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.EngineAction

/** An order that has to follow one which can no longer arrive and did not have its effect. */
public data class RepeatedOrder(val artifact: Artifact, val action: EngineAction)
