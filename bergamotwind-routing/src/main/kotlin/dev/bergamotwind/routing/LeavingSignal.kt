package dev.bergamotwind.routing

import kotlin.time.Duration

/** A source that can say that a target is leaving. The first signal takes effect; all must end for it to return. */
public enum class LeavingSignal(
    /** Time after which the signal ends by itself; null when its source withdraws it. */
    internal val lifetime: Duration?,
) {
    /** The operator configuration. */
    CONFIGURATION(null),

    /** The platform's VM list. */
    VM_LIST(null),

    /** The target's own report. */
    REPORT(null),

    /** A refusal of the target with `X-Draining: true`. */
    REFUSAL(LEAVING_SIGNAL_LIFETIME),

    /** A digest of a peer. */
    PEER(LEAVING_SIGNAL_LIFETIME),
}
