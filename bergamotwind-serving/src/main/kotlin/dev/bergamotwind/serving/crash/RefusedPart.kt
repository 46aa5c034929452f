package dev.bergamotwind.serving.crash

import dev.bergamotwind.serving.call.PromptPartId

/** Why a request is not sent to an engine: one of its prompt parts has crashed engines. */
internal class RefusedPart(
    val part: PromptPartId,
    /** Engines that crashed. */
    val crashes: Int,
    /** Milliseconds until a request with the part may be tried again; 0 when this one may. */
    val retryAfterMillis: Long,
) {
    /** True when this VM may ask for the trial. */
    val isTrialDue: Boolean get() = retryAfterMillis <= 0
}
