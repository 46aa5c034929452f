package dev.bergamotwind.admission

import kotlinx.serialization.Serializable

/**
 * Value of `rate/unit/<team>/<number>`. While [vm] holds the unit, the record is attached to the lease of its node. A
 * record without a lease is a returned unit with the bucket [level] that was returned with it.
 */
@Serializable
internal data class UnitRecord(val vm: String, val level: Long = 0)
