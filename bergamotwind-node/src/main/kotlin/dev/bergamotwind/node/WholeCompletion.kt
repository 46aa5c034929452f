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

/** An answer that is not streamed, checked to be whole, with the tokens that the engine counted. */
internal data class WholeCompletion(val body: HttpData, val totalTokens: Long?) {
    internal companion object {
        /** Checks [data]: valid JSON whose choices have all finished. */
        fun check(data: HttpData): Either<Failure, WholeCompletion> {
            val body = try {
                Json.parseToJsonElement(data.toStringUtf8()) as? JsonObject
            } catch (failure: SerializationException) {
                return broken("is not JSON: ${failure.message?.lineSequence()?.first()}")
            }
            val choices = body?.get("choices") as? JsonArray ?: return broken("has no choices")
            val finished = choices.isNotEmpty() && choices.all { hasFinished(it as? JsonObject) }
            return if (finished) WholeCompletion(data, totalTokens(body)).right() else broken("has not finished")
        }

        private fun hasFinished(choice: JsonObject?): Boolean =
            choice?.get("finish_reason").let { it != null && it != JsonNull }

        private fun totalTokens(body: JsonObject): Long? =
            ((body["usage"] as? JsonObject)?.get("total_tokens") as? JsonPrimitive)?.longOrNull

        private fun broken(reason: String) = Failure.TargetFailed("the engine's answer $reason", RunOutcome.RUN).left()
    }
}
