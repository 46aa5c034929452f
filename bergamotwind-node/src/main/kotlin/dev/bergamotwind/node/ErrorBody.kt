package dev.bergamotwind.node

import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import kotlinx.serialization.Serializable

/** Error answer to callers and operators. */
@Serializable
internal data class ErrorBody(val error: Detail) {
    /** The single member `error`. */
    @Serializable
    internal data class Detail(val type: String, val message: String, val remedy: String, val run: RunOutcome)

    internal companion object {
        /** Renders [failure]; [run] overrides what the failure itself knows about execution. */
        fun of(failure: Failure, run: RunOutcome = failure.run): ErrorBody =
            ErrorBody(Detail(failure.code, failure.message, failure.remedy, run))
    }
}
