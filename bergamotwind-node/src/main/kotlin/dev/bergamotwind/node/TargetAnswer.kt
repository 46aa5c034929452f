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
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.reactive.asFlow
import java.io.ByteArrayOutputStream

/** Head and body of a target's answer. */
internal class TargetAnswer(
    val headers: ResponseHeaders,
    private val body: StreamMessage<HttpData>,
    private val response: HttpResponse,
) {
    /** Whether the target refuses work because it is leaving. */
    val isDraining: Boolean get() = headers.status().code() == SERVICE_UNAVAILABLE && headers.contains("x-draining")

    /** The body; fails if the connection ends before it is whole. */
    fun body(): Flow<HttpData> = body.asFlow()

    /** Reads the whole body; fails as run if the connection ends before it is whole. */
    @Suppress("TooGenericExceptionCaught") // Armeria reports connection and protocol errors as many types.
    suspend fun whole(address: String): Either<Failure.TargetFailed, HttpData> = try {
        val bytes = ByteArrayOutputStream()
        body().collect { bytes.writeBytes(it.array()) }
        HttpData.wrap(bytes.toByteArray()).right()
    } catch (cancelled: CancellationException) {
        abort()
        throw cancelled
    } catch (failure: Exception) {
        Failure.TargetFailed("target $address broke off its answer: ${failure.message}", RunOutcome.RUN).left()
    }

    /** Cancels the request at the target. */
    fun abort(): Unit = response.abort()

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
    }
}
