package dev.bergamotwind.cli

import dev.bergamotwind.configuration.ErrorBody
import java.net.URI

/** Why a call of the administration API failed. */
internal sealed interface AdministrationError {
    /** Text for the operator. */
    val message: String

    /** Exit code of the command. */
    val exitCode: ExitCode

    /** [node] did not answer; a call that changes something may have taken effect. */
    data class Unreachable(val node: URI, val cause: String) : AdministrationError {
        override val message get() = "$node cannot be reached: $cause. Check the address, or give another --node."
        override val exitCode get() = ExitCode.UNREACHABLE
    }

    /** [node] answered with an error. */
    data class Refused(val node: URI, val error: ErrorBody) : AdministrationError {
        override val message get() = "${error.type}: ${error.message}. ${error.remedy}"
        override val exitCode get() = ExitCode.FAILED
    }

    /** [node] answered with something else than the administration API does. */
    data class Unexpected(val node: URI, val answer: String) : AdministrationError {
        override val message
            get() = "$node gave an unexpected answer: $answer. Check that it is an administration port."
        override val exitCode get() = ExitCode.FAILED
    }
}
