package dev.bergamotwind.serving.call

import dev.bergamotwind.api.Header
import dev.bergamotwind.serving.targets.ReportedLoad

/** Head of a target's answer. */
public data class ResponseHead(
    val status: Int,
    /** Headers to relay to the caller. */
    val headers: List<Header>,
    /** True when the target states that it did not run the request and never will. */
    val notRun: Boolean,
    /** True when the target refused because it is not the one meant, or lacks the model or adapter. */
    val misdirected: Boolean,
    /** True when another target than the one meant has answered. */
    val answeredByOther: Boolean,
    /** True when the answer bears the target's signature. */
    val isSigned: Boolean,
    /** False when the answer belongs to another request or its body is not the target's own. */
    val isOwn: Boolean,
    /** Load that the target reports with its answer, or null. */
    val load: ReportedLoad?,
) {
    /** True for a success. */
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}
