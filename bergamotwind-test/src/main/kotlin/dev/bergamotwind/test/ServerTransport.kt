package dev.bergamotwind.test

import com.linecorp.armeria.common.Flags
import com.linecorp.armeria.common.util.TransportType
import io.netty.channel.EventLoopGroup
import java.util.concurrent.ThreadFactory
import java.util.concurrent.atomic.AtomicInteger

/**
 * The transport of the stand-ins' servers: NIO unless a system property chose another before. Armeria's acceptor
 * follows its process-wide flag, so a worker group of a different type could not take its connections.
 */
public object ServerTransport {
    private const val PROPERTY = "com.linecorp.armeria.transportType"

    private val type: TransportType = run {
        if (System.getProperty(PROPERTY) == null) System.setProperty(PROPERTY, "nio")
        Flags.transportType().also { check(it != TransportType.IO_URING) { "set -D$PROPERTY=nio or epoll" } }
    }

    /** Event loops that all servers of the process share; ending a group takes seconds, so they are never ended. */
    public val workers: EventLoopGroup by lazy {
        val number = AtomicInteger()
        val factory = ThreadFactory { Thread(it, "server-${number.incrementAndGet()}").apply { isDaemon = true } }
        type.newIoEventLoopGroup(WORKER_THREADS) { factory }
    }

    private const val WORKER_THREADS = 4
}
