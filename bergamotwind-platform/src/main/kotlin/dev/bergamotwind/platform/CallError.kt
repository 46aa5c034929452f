package dev.bergamotwind.platform

import com.linecorp.armeria.common.HttpStatus

/** Why one attempt has failed. */
internal sealed interface CallError {
    val label: String
    val detail: String

    /** The endpoint gave no usable answer; [maybeSent] is false when the request certainly had no effect. */
    data class Endpoint(val maybeSent: Boolean, override val detail: String) : CallError {
        override val label: String get() = if (maybeSent) "no_answer" else "unreachable"
    }

    /** The service has refused the call without effect. */
    data class Refused(val status: HttpStatus, override val detail: String) : CallError {
        override val label: String get() = "refused"
    }
}
