package dev.bergamotwind.platform

import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.test.InMemoryKeyValueService
import dev.bergamotwind.test.KeyValueFaults
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.PlatformFaults
import dev.bergamotwind.test.PlatformServer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One implementation of the port with its faults, so that the same cases run against each. */
abstract class ServiceUnderTest : AutoCloseable {
    val clock = ManualClock()
    val store = InMemoryKeyValueService(clock)
    val direct: KeyValueService = store.client()
    abstract val service: KeyValueService

    abstract fun available(available: Boolean)

    abstract fun faults(loseAnswers: Boolean = false, delay: Duration = Duration.ZERO)

    override fun close() = Unit

    class InMemory : ServiceUnderTest() {
        private val faults = KeyValueFaults()
        override val service = store.client(faults)

        override fun available(available: Boolean) {
            faults.available = available
        }

        override fun faults(loseAnswers: Boolean, delay: Duration) {
            faults.loseAnswer = { loseAnswers }
            faults.delay = delay
        }
    }

    class Etcd(timeout: Duration = DEFAULT_CALL_TIMEOUT, callsPerSecond: Int = 1000, dead: Int = 0) :
        ServiceUnderTest() {
        val server = PlatformServer(store = store).start()
        val registry = SimpleMeterRegistry()

        // Nothing listens on port 1 of the loopback interface, so a connection is refused at once.
        private val endpoints = List(dead) { "127.0.0.1:1" } + server.endpoint
        private val settings = PlatformSettings(endpoints, callsPerSecond, callTimeout = timeout)
        val client = PlatformClient(settings, registry, clock)
        override val service = EtcdKeyValueService(client)

        override fun available(available: Boolean) {
            if (available) server.start() else server.close()
        }

        override fun faults(loseAnswers: Boolean, delay: Duration) {
            server.faults = PlatformFaults(false, delay.inWholeMilliseconds, if (loseAnswers) 1.0 else 0.0)
        }

        override fun close() {
            client.close()
            // Ending the acceptor takes 2 s, which the next case need not wait for.
            Thread(server::close).start()
        }

        companion object {
            val SHORT_TIMEOUT = 400.milliseconds
        }
    }
}
