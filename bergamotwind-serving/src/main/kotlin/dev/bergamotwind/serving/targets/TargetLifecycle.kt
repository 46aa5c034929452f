package dev.bergamotwind.serving.targets

/** Whether a target accepts new requests. */
public enum class TargetLifecycle {
    /** Accepts requests. */
    READY,

    /** Finishes its requests and then stops. */
    DRAINING,
}
