package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Tokens
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** The fields of a completion request that the node uses; [body] is sent to the engine with an explicit token limit. */
internal data class CompletionRequest(
    val body: JsonObject,
    val model: ModelId,
    val adapter: AdapterId?,
    val stream: Boolean,
    val maximumTokens: Int,
    val promptBytes: Int,
) {
    /** Model and adapter as named by the caller, `model` or `model:adapter`. */
    val name: String get() = if (adapter == null) model.value else "$model:$adapter"

    /** Hash of the beginning of the prompt, which engines may hold in their prefix cache. */
    val prefixHash: String get() = Integer.toHexString(prompt.take(PREFIX_CHARACTERS).hashCode())

    private val prompt: String get() = (body["prompt"] ?: body["messages"]).toString()

    /** Upper estimate of the number of prompt tokens. */
    val promptTokens: Long get() = promptBytes.toLong() / BYTES_PER_TOKEN + 1

    /** Upper estimate of the number of tokens of prompt and completion. */
    val estimatedTokens: Tokens get() = Tokens(promptTokens + maximumTokens)

    internal companion object {
        private const val PREFIX_CHARACTERS = 1024

        /** Parses the body of `/v1/chat/completions` if [chat], else of `/v1/completions`. */
        fun parse(text: String, chat: Boolean): Either<Failure, CompletionRequest> {
            val body = try {
                Json.parseToJsonElement(text) as? JsonObject
            } catch (failure: SerializationException) {
                return invalid("the body is not JSON: ${failure.message?.lineSequence()?.first()}")
            } ?: return invalid("the body is not a JSON object")
            val name = (body["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
            val limit = (body["max_tokens"] ?: body["max_completion_tokens"] ?: JsonPrimitive(DEFAULT_MAXIMUM_TOKENS))
            val maximumTokens = (limit as? JsonPrimitive)?.intOrNull
            return when {
                name.isNullOrBlank() -> invalid("the field 'model' is missing")

                maximumTokens == null || maximumTokens <= 0 -> invalid(
                    "the field 'max_tokens' is not a positive number",
                )

                !hasPrompt(body, chat) -> invalid("the field '${if (chat) "messages" else "prompt"}' is missing")

                else -> CompletionRequest(
                    withTokenLimit(body, maximumTokens),
                    ModelId(name.substringBefore(':')),
                    name.substringAfter(':', "").ifEmpty { null }?.let(::AdapterId),
                    (body["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
                    maximumTokens,
                    text.length,
                ).right()
            }
        }

        // Always sets an explicit limit, so that the engine cannot generate more tokens than admission reserved.
        private fun withTokenLimit(body: JsonObject, maximumTokens: Int): JsonObject =
            JsonObject(body + ("max_tokens" to JsonPrimitive(maximumTokens)))

        private fun hasPrompt(body: JsonObject, chat: Boolean): Boolean = if (chat) {
            (body["messages"] as? JsonArray)?.let { it.isNotEmpty() && it.all(::isMessage) } ?: false
        } else {
            (body["prompt"] as? JsonPrimitive)?.contentOrNull != null
        }

        private fun isMessage(element: Any): Boolean =
            element is JsonObject && element["role"] is JsonPrimitive && element["content"] is JsonPrimitive

        private fun invalid(message: String) =
            Failure.Invalid(message, "Send a request as the OpenAI completions API describes it.").left()
    }
}
