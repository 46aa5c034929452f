package dev.bergamotwind.routing

import kotlin.time.Duration

/**
 * A source that can report that a target is leaving. One signal is enough; the target returns only when all have ended.
 */
public enum class LeavingSignal(
    /** Time after which the signal expires; null when it lasts until its source withdraws it. */
    internal val lifetime: Duration?,
) {
    /** The operator configuration. */
    CONFIGURATION(null),

    /** The platform's VM list. */
    VM_LIST(null),

    /** The report of the target itself. */
    REPORT(null),

    /** A refusal by the target with `X-Draining: true`. */
    REFUSAL(LEAVING_SIGNAL_LIFETIME),

    /** A digest from a peer node. */
    PEER(LEAVING_SIGNAL_LIFETIME),
}
