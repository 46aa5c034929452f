package dev.bergamotwind.admission

import kotlinx.serialization.Serializable

/** Value of `rate/slot/<number>`: [vm] holds one of [divisor] equal parts of every team's [SLOT_FRACTION]. */
@Serializable
internal data class SlotRecord(val vm: String, val divisor: Int)
