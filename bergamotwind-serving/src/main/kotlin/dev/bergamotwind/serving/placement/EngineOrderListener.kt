package dev.bergamotwind.serving.placement

/** Receives the effects of an engine's orders. */
internal interface EngineOrderListener {
    /** Called when the engine's models or adapters may have changed. */
    fun onHoldingsChanged(engine: EngineState)

    /** Called when an order has just been sent to the engine, or may have reached it since. */
    fun onOrderPossiblyDelivered(engine: EngineState)

    /** Called when a load from the weight store starts. */
    fun onStoreLoadStarted(engine: EngineState)
}
