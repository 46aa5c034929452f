package dev.bergamotwind.placement

import dev.bergamotwind.api.FencingNumber

/**
 * Fencing number and times of an order. By the engine's clock, the order is created at [orderedMillis] and cannot take
 * effect after [orderExpiryMillis].
 */
public data class OrderMetadata(val fencing: FencingNumber, val orderedMillis: Long, val orderExpiryMillis: Long)
