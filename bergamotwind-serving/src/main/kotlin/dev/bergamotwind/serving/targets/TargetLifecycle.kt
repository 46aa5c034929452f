package dev.bergamotwind.serving.targets

/** Whether a target takes new requests. */
public enum class TargetLifecycle {
    /** Takes requests. */
    READY,

    /** Finishes what it has and leaves. */
    DRAINING,
}
