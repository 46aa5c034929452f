package dev.bergamotwind.routing

import dev.bergamotwind.configuration.Target
import kotlin.time.Duration

/**
 * The selected [target]. [predictedFirstToken] is the expected time until the answer begins, without network latency.
 * [adapterResident] is false when the engine must first load the adapter.
 */
public data class TargetChoice(
    val target: Target,
    val predictedFirstToken: Duration,
    val adapterResident: Boolean,
    val prefixWarm: Boolean,
)
