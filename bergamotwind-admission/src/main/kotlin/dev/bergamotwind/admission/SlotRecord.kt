package dev.bergamotwind.admission

import kotlinx.serialization.Serializable

/** Value of `rate/slot/<number>`: [vm] holds one of [divisor] equal shares of every team's slot half. */
@Serializable
internal data class SlotRecord(val vm: String, val divisor: Int)
