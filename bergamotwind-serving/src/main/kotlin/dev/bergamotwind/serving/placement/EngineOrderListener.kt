package dev.bergamotwind.serving.placement

/** Receives the effects of an engine's orders. */
internal interface EngineOrderListener {
    /** Called when the engine's models or adapters may have changed. */
    fun changed(seat: EngineState)

    /** Called when an order has just been sent to the engine, or may have reached it since. */
    fun orderMayArrive(seat: EngineState)

    /** Called when a load from the weight store starts. */
    fun storeLoadBegan(seat: EngineState)
}
