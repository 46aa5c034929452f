package dev.bergamotwind.serving.placement

/** What an engine is ordered to do. */
public enum class OrderKind {
    /** Loads a model, or an adapter of a model that it holds. */
    LOAD,

    /** Drops a model or an adapter once no request uses it. */
    UNLOAD,
}
