package dev.bergamotwind.api

import kotlinx.serialization.Serializable

/**
 * An order to an engine. [number] grows with each order to the same target and comes from its memory ledger;
 * [fencing] is the ownership under which the order was given. An engine must not begin an order after [deadlineMillis]
 * of its own wall clock; memory counts as used until that time and a margin have passed.
 */
@Serializable
public data class EngineOrder(
    val target: TargetId,
    val number: Long,
    val fencing: FencingNumber,
    val action: EngineAction,
    val artifact: Artifact? = null,
    val memory: Mebibytes = Mebibytes(0),
    val role: EngineRole? = null,
    val deadlineMillis: Long = Long.MAX_VALUE,
)
