package dev.bergamotwind.test

import com.linecorp.armeria.common.Flags
import com.linecorp.armeria.common.util.TransportType
import io.netty.channel.EventLoopGroup
import java.util.concurrent.ThreadFactory
import java.util.concurrent.atomic.AtomicInteger

/**
 * Transport of the fake servers: NIO unless the system property is already set. Armeria's acceptor uses its
 * process-wide flag, so a worker group of a different type could not register the accepted connections.
 */
public object ServerTransport {
    private const val PROPERTY = "com.linecorp.armeria.transportType"

    private val type: TransportType = run {
        if (System.getProperty(PROPERTY) == null) System.setProperty(PROPERTY, "nio")
        Flags.transportType().also { check(it != TransportType.IO_URING) { "set -D$PROPERTY=nio or epoll" } }
    }

    /** Event loops that all servers of the process share. They are never shut down because that takes seconds. */
    public val workers: EventLoopGroup by lazy {
        val number = AtomicInteger()
        val factory = ThreadFactory { Thread(it, "server-${number.incrementAndGet()}").apply { isDaemon = true } }
        type.newIoEventLoopGroup(WORKER_THREADS) { factory }
    }

    private const val WORKER_THREADS = 4
}
