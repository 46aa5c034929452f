package dev.bergamotwind.serving.placement

/** Action that an engine is ordered to take. */
public enum class OrderKind {
    /** Loads a model, or an adapter of a model that the engine holds. */
    LOAD,

    /** Unloads a model or an adapter as soon as no request uses it. */
    UNLOAD,
}
