package dev.bergamotwind.placement

import dev.bergamotwind.api.FencingNumber

/**
 * Under which ownership an order is given and when, on the engine's clock: it is given at [orderedMillis] and can no
 * longer take effect after [settledMillis].
 */
public data class OrderStamp(val fencing: FencingNumber, val orderedMillis: Long, val settledMillis: Long)
