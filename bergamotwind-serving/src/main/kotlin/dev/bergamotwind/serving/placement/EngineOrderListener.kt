package dev.bergamotwind.serving.placement

/** Hears what becomes of an engine's orders. */
internal interface EngineOrderListener {
    /** What the engine holds may have changed. */
    fun changed(seat: EngineState)

    /** An order has just left for the engine, or may have reached it since. */
    fun orderMayArrive(seat: EngineState)

    /** A load from the weight store begins. */
    fun storeLoadBegan(seat: EngineState)
}
