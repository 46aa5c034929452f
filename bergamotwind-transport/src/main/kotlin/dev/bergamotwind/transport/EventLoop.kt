package dev.bergamotwind.transport

import dev.bergamotwind.core.AnswerMemory
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit

/**
 * The thread on which all connections and timers run. NIO is chosen because the native transports need libraries
 * that not every VM permits.
 */
public class EventLoop(
    /** Bounds what the connections of the loop keep of answers. */
    public val answerMemory: AnswerMemory = AnswerMemory.ofHeap(),
) : AutoCloseable {
    internal val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()

    /** Runs [action] on the thread of the loop as soon as possible. */
    public fun execute(action: () -> Unit): Unit = loop.execute { runLogged(action) }

    /** Runs [action] on the thread of the loop after [delayMillis]; the result cancels it. */
    public fun schedule(delayMillis: Long, action: () -> Unit): () -> Unit {
        val scheduled = loop.schedule({ runLogged(action) }, delayMillis, TimeUnit.MILLISECONDS)
        return { scheduled.cancel(false) }
    }

    // The loop would keep what a timer throws to itself.
    @Suppress("TooGenericExceptionCaught")
    private fun runLogged(action: () -> Unit) {
        try {
            action()
        } catch (failure: Throwable) {
            Unexpected.log("a task of the event loop failed", failure)
        }
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }
}
