package dev.bergamotwind.serving.call

import dev.bergamotwind.api.Header
import dev.bergamotwind.serving.targets.ReportedLoad
import dev.bergamotwind.serving.targets.TargetStatement

/** Status and headers of a target's response, with what they state about the request. */
public data class ResponseHead(
    val status: Int,
    /** Headers to relay to the caller. */
    val headers: List<Header>,
    /** True when the target states that it did not run the request and never will. */
    val notRun: Boolean,
    /** True when the target refused because it is not the addressed one, or lacks the model or adapter. */
    val misdirected: Boolean,
    /** True when a target other than the addressed one has answered. */
    val answeredByOther: Boolean,
    /** True when the response carries the target's signature. */
    val isSigned: Boolean,
    /** False when the response belongs to another request or its body was altered on the way. */
    val belongsToRequest: Boolean,
    /** Load that the target reports with the response, or null. */
    val load: ReportedLoad?,
    /** Requests a second that the target takes from all VMs together for now, or null when it names no limit. */
    val requestLimitPerSecond: Double? = null,
    /** What the target states about itself. */
    val statement: TargetStatement = TargetStatement(),
) {
    /** True for a 2xx status. */
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}
