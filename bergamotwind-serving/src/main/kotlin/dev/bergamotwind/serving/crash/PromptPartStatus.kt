package dev.bergamotwind.serving.crash

import dev.bergamotwind.serving.call.PromptPartId

/** What operators see of a suspected prompt part. */
public data class PromptPartStatus(
    /** Id of the part. */
    val part: PromptPartId,
    /** True when requests with the part are refused. */
    val isRefused: Boolean,
    /** Crashes with causes of their own that the part was a suspect of since it was last answered. */
    val crashes: Int,
    /** Milliseconds since the last of them. */
    val lastCrashMillisAgo: Long,
    /** Milliseconds until this VM may try a request with the part; 0 when it may. */
    val millisUntilTrial: Long,
    /** Requests that this VM has refused for the part. */
    val refusedRequests: Long,
)
