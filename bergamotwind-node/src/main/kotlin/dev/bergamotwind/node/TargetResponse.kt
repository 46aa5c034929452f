package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.stream.StreamMessage
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.core.AnswerBuffer
import dev.bergamotwind.core.AnswerMemory
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.reactive.asFlow

/** Headers and body of a target's response. */
internal class TargetResponse(
    val headers: ResponseHeaders,
    private val body: StreamMessage<HttpData>,
    private val response: HttpResponse,
    private val answerMemory: AnswerMemory,
) {
    /** Whether the target refused the request because it is draining. */
    val isDraining: Boolean get() = headers.status().code() == SERVICE_UNAVAILABLE && headers.contains("x-draining")

    /** The chunks of the body; the last one is a failure if the connection ends before the body is complete. */
    fun bodyParts(address: String): Flow<Either<Failure.TargetFailed, HttpData>> = body.asFlow()
        .map<HttpData, Either<Failure.TargetFailed, HttpData>> { it.right() }
        .catch { failure ->
            if (failure is CancellationException) throw failure
            val message = "target $address ended its response early: ${failure.message ?: failure.javaClass.simpleName}"
            emit(Failure.TargetFailed(message, RunOutcome.RUN).left())
        }

    /** Reads the complete body. */
    suspend fun aggregate(address: String): Either<Failure.TargetFailed, HttpData> {
        val bytes = AnswerBuffer()
        var failure: Failure.TargetFailed? = null
        val memory = answerMemory.share(::abort)
        try {
            bodyParts(address).collect { part ->
                part.onRight {
                    bytes.writeBytes(it.array())
                    memory.resize(bytes.capacityBytes)
                }.onLeft { failure = it }
            }
            return failure?.left() ?: HttpData.wrap(bytes.toByteArray()).right()
        } finally {
            memory.release()
        }
    }

    /** Cancels the request at the target. */
    fun abort(): Unit = response.abort()

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
    }
}
