package dev.bergamotwind.platform

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryBuilder
import com.linecorp.armeria.client.ClientFactoryOptions
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.util.TransportType
import dev.bergamotwind.transport.AnswerChecks
import io.netty.channel.ChannelOption
import java.util.concurrent.ThreadFactory
import java.util.concurrent.atomic.AtomicInteger
import java.util.function.Consumer
import kotlin.time.Duration
import kotlin.time.toJavaDuration

// Calls to the platform are few; one event loop keeps the processor time of a node low.
private const val EVENT_LOOPS = 1

/** Returns a client factory over NIO, never io_uring, with the further settings of [configure]. */
internal fun clientFactory(
    name: String,
    connectTimeout: Duration,
    configure: ClientFactoryBuilder.() -> Unit = {},
): ClientFactory {
    val number = AtomicInteger()
    val threads = ThreadFactory { task -> Thread(task, "$name-${number.incrementAndGet()}").apply { isDaemon = true } }
    return ClientFactory.builder()
        .workerGroup(TransportType.NIO.newIoEventLoopGroup(EVENT_LOOPS) { threads }, true)
        .connectTimeout(connectTimeout.toJavaDuration())
        .channelOption(ChannelOption.SO_KEEPALIVE, true)
        .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, Consumer(AnswerChecks::addTo))
        .apply(configure)
        .build()
}

/** Returns a client of [address] that repeats nothing. HTTP/1 only, because etcd serves its JSON API only there. */
internal fun webClient(address: String, factory: ClientFactory, timeout: Duration): WebClient =
    WebClient.builder("h1c://$address")
        .factory(factory)
        .responseTimeout(timeout.toJavaDuration())
        .writeTimeout(timeout.toJavaDuration())
        .maxResponseLength(RESPONSE_LIMIT_BYTES)
        .build()
