package dev.bergamotwind.test

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.linecorp.armeria.client.Endpoint
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.SessionProtocol
import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/**
 * Sends completion requests at a fixed rate to each URL and prints the latency distribution of each, so that calls
 * through a node and direct calls to the same engine are measured in one run. Latency is measured from the scheduled
 * send time of a request.
 */
public class LoadCommand : CliktCommand(name = "load") {
    private val urls by option("--url", help = "base URL as NAME=http://IP:PORT").multiple(required = true)
    private val key by option("--key", help = "key to send").default("")
    private val model by option("--model", help = "model to ask for").default("shade")
    private val rate by option("--rate", help = "requests per second at each URL").int().default(1_000)
    private val seconds by option("--seconds", help = "duration of the measurement").int().default(10)
    private val warmUp by option("--warm-up", help = "seconds before the measurement").int().default(5)
    private val tokens by option("--tokens", help = "tokens of each answer").int().default(16)

    override fun run() {
        val targets = urls.map { Target(it.substringBefore('='), it.substringAfter('=')) }
        sendAtFixedRate(targets, warmUp)
        targets.forEach { it.reset() }
        sendAtFixedRate(targets, seconds)
        echo("name requests failed p50_us p95_us p99_us max_us")
        targets.forEach { echo(it.formatRow()) }
    }

    private fun sendAtFixedRate(targets: List<Target>, durationSeconds: Int) {
        val total = rate * durationSeconds
        val pending = CountDownLatch(total * targets.size)
        val intervalNanos = NANOS_PER_SECOND / rate
        val startNanos = System.nanoTime()
        for (number in 0 until total) {
            val dueNanos = startNanos + number * intervalNanos
            while (System.nanoTime() < dueNanos) LockSupport.parkNanos(dueNanos - System.nanoTime())
            targets.forEach { it.send(number, dueNanos, pending) }
        }
        check(pending.await(1, TimeUnit.MINUTES)) { "requests were not answered within a minute" }
    }

    private inner class Target(private val name: String, url: String) {
        private val histogram = ConcurrentHistogram(HIGHEST_MICROS, 3)
        private val failed = AtomicInteger()
        private val client = WebClient.of(SessionProtocol.H1C, Endpoint.parse(url.substringAfter("://")))

        fun send(number: Int, dueNanos: Long, pending: CountDownLatch) {
            val headers = RequestHeaders.builder(HttpMethod.POST, "/v1/completions").contentType(MediaType.JSON)
                .add("authorization", "Bearer $key").build()
            val body = """{"model":"$model","prompt":"question $name $number $dueNanos","max_tokens":$tokens}"""
            client.execute(headers, body).aggregate().handle { response, failure ->
                histogram.recordValue(((System.nanoTime() - dueNanos) / NANOS_PER_MICRO).coerceAtMost(HIGHEST_MICROS))
                val complete =
                    failure == null && response.status().code() == 200 && "finish_reason" in response.contentUtf8()
                if (!complete) failed.incrementAndGet()
                pending.countDown()
            }
        }

        fun reset() {
            histogram.reset()
            failed.set(0)
        }

        fun formatRow(): String = listOf(
            name,
            histogram.totalCount,
            failed.get(),
            histogram.getValueAtPercentile(50.0),
            histogram.getValueAtPercentile(95.0),
            histogram.getValueAtPercentile(99.0),
            histogram.maxValue,
        ).joinToString(" ")
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MICRO = 1_000L
        const val HIGHEST_MICROS = 60_000_000L
    }
}
