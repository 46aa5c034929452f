package dev.bergamotwind.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.WatchListener
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean

private val logger = KotlinLogging.logger {}

/**
 * One watch over a streaming answer, whose JSON values are separated by line ends. Events go to [listener] on a
 * thread of this watch, so that a slow listener does not hold up the event loop.
 */
internal class EtcdWatch(
    private val client: PlatformClient,
    private val request: String,
    private val listener: WatchListener,
) : Subscriber<HttpObject>,
    AutoCloseable {
    private val created = CompletableFuture<Unit>()
    private val line = ByteArrayOutputStream()
    private var isTooLong = false
    private val closed = AtomicBoolean()
    private val ended = AtomicBoolean()
    private val delivery = Executors.newSingleThreadExecutor { Thread(it, "platform-watch").apply { isDaemon = true } }

    @Volatile
    private var subscription: Subscription? = null

    /** Waits until the service has confirmed the watch. */
    fun open(): Either<Failure, AutoCloseable> {
        val endpoint = client.preferredClient()
        val options = RequestOptions.builder().responseTimeoutMillis(0).maxResponseLength(0).build()
        endpoint.execute(client.request(CallKind.WATCH, request), options).subscribe(this)
        val problem = try {
            created.get(client.settings.callTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            null
        } catch (failure: ExecutionException) {
            failure.cause.toString()
        } catch (_: TimeoutException) {
            "no answer within ${client.settings.callTimeout}"
        }
        if (problem == null) {
            client.metrics.watchOpened()
            return this.right()
        }
        // The listener has seen nothing of this watch, so it gets no end either.
        close()
        client.preferNext(endpoint)
        client.metrics.failed(CallKind.WATCH, "unreachable")
        return Failure.Unavailable("watch failed: $problem").left()
    }

    override fun onSubscribe(subscription: Subscription) {
        this.subscription = subscription
        if (closed.get()) subscription.cancel() else subscription.request(Long.MAX_VALUE)
    }

    override fun onNext(part: HttpObject) {
        if (part !is HttpData || isTooLong) return
        if (line.size() + part.length() > RESPONSE_LIMIT_BYTES) {
            isTooLong = true
            subscription?.cancel()
            return finish(IllegalStateException("an event of more than $RESPONSE_LIMIT_BYTES bytes"))
        }
        for (byte in part.array()) {
            if (byte == LINE_END) {
                val text = line.toString(Charsets.UTF_8)
                line.reset()
                delivery.execute { receive(text) }
            } else {
                line.write(byte.toInt())
            }
        }
    }

    override fun onError(cause: Throwable) = finish(cause)

    override fun onComplete() = finish(IllegalStateException("the stream has ended"))

    // Runs after the lines that came before the end, of which one may confirm the watch.
    private fun finish(cause: Throwable) {
        delivery.execute { if (!created.completeExceptionally(cause)) end() }
        delivery.shutdown()
    }

    private fun receive(text: String) {
        val result = try {
            EtcdCodec.json.decodeFromString<WatchResponse>(text).result
        } catch (malformed: SerializationException) {
            logger.warn { "event=platform.watch_malformed error=\"${malformed.message}\"" }
            null
        }
        when {
            result == null -> subscription?.cancel()
            result.canceled -> end()
            result.created -> created.complete(Unit)
            !closed.get() -> deliver(result)
        }
    }

    private fun deliver(result: WatchResult) {
        val entries = result.events.filter { it.type == "PUT" }.map { EtcdCodec.entry(it.kv) }
        if (entries.isNotEmpty()) listener.written(entries)
    }

    private fun end() {
        if (ended.getAndSet(true)) return
        client.metrics.watchClosed()
        if (!closed.get()) listener.ended()
    }

    override fun close() {
        if (!closed.getAndSet(true)) subscription?.cancel()
    }

    private companion object {
        const val LINE_END = '\n'.code.toByte()
    }
}
