package dev.bergamotwind.serving.crash

import dev.bergamotwind.serving.call.PromptPartId

/** An attempt whose connection ended before its response was complete. */
internal class BrokenAttempt(
    /** Time at which the connection ended. */
    val brokenMillis: Long,
    /** Prompt parts that other requests may share. */
    val sharedParts: List<PromptPartId>,
    /** True when the engine had not yet answered for long enough to rule the request out as the cause. */
    val mayBeCause: Boolean,
)
