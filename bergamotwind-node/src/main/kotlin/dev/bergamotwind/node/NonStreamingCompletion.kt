package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.common.HttpData
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** A non-streaming response that is known to be complete, and the number of tokens that the engine reported. */
internal data class NonStreamingCompletion(val body: HttpData, val totalTokens: Long?) {
    internal companion object {
        /** Accepts [data] if it is valid JSON in which every choice has a finish reason. */
        fun validate(data: HttpData): Either<Failure, NonStreamingCompletion> {
            val body = try {
                Json.parseToJsonElement(data.toStringUtf8()) as? JsonObject
            } catch (failure: SerializationException) {
                return incomplete("is not JSON: ${failure.message?.lineSequence()?.first()}")
            }
            val choices = body?.get("choices") as? JsonArray ?: return incomplete("has no choices")
            val finished = choices.isNotEmpty() && choices.all { hasFinished(it as? JsonObject) }
            return if (finished) {
                NonStreamingCompletion(
                    data,
                    totalTokens(body),
                ).right()
            } else {
                incomplete("has not finished")
            }
        }

        private fun hasFinished(choice: JsonObject?): Boolean =
            choice?.get("finish_reason").let { it != null && it != JsonNull }

        private fun totalTokens(body: JsonObject): Long? =
            ((body["usage"] as? JsonObject)?.get("total_tokens") as? JsonPrimitive)?.longOrNull

        private fun incomplete(reason: String) =
            Failure.TargetFailed("the engine's answer $reason", RunOutcome.RUN).left()
    }
}
