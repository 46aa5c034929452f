package dev.bergamotwind.configuration

import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import kotlinx.serialization.Serializable

/** JSON body of an error answer: `{"error": {...}}`. */
@Serializable
public data class ErrorAnswer(val error: ErrorBody) {
    /** Builds error answers. */
    public companion object {
        /** Returns the body that reports [failure]. A change whose answer was lost may be in the log. */
        public fun of(failure: Failure): ErrorAnswer {
            val run = if (failure is Failure.OutcomeUnknown) RunOutcome.UNKNOWN else failure.run
            return ErrorAnswer(ErrorBody(failure.code, failure.message, failure.remedy, run))
        }
    }
}
