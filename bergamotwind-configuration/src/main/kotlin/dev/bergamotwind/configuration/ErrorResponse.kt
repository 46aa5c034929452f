package dev.bergamotwind.configuration

import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import kotlinx.serialization.Serializable

/** JSON body of an error response: `{"error": {...}}`. */
@Serializable
public data class ErrorResponse(val error: ErrorBody) {
    /** Creates error responses. */
    public companion object {
        /** Returns the body for [failure]. The run outcome is unknown if the change may be in the log. */
        public fun of(failure: Failure): ErrorResponse {
            val run = if (failure is Failure.OutcomeUnknown) RunOutcome.UNKNOWN else failure.run
            return ErrorResponse(ErrorBody(failure.code, failure.message, failure.remedy, run))
        }
    }
}
