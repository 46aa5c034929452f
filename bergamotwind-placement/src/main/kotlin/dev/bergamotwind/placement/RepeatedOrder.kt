package dev.bergamotwind.placement

import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.EngineAction

/** An order to send after an earlier one that has expired without taking effect. */
public data class RepeatedOrder(val artifact: Artifact, val action: EngineAction)
