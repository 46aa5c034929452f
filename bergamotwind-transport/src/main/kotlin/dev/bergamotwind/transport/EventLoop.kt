package dev.bergamotwind.transport

import dev.bergamotwind.core.AnswerMemory
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import java.util.concurrent.TimeUnit

/**
 * The thread on which all connections and timers run. NIO is chosen because the native transports need libraries
 * that not every VM permits.
 */
public class EventLoop(
    /** Bounds what the connections of the loop keep of answers. */
    public val answerMemory: AnswerMemory = AnswerMemory.ofHeap(),
    /** Called on the ending thread if that ends without [close], after which nothing of the loop works any more. */
    private val onUnexpectedEnd: () -> Unit = {},
) : AutoCloseable {
    private val threads = object : DefaultThreadFactory("event-loop") {
        override fun newThread(task: Runnable): Thread = super.newThread { runToEnd(task) }
    }
    internal val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory())
    private val loop = group.next()

    @Volatile
    private var isClosed = false

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

    // Netty logs the error that ends the thread, if there is memory left to do so, and then lets the thread end.
    private fun runToEnd(task: Runnable) {
        try {
            task.run()
        } finally {
            if (!isClosed) onUnexpectedEnd()
        }
    }

    override fun close() {
        isClosed = true
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }
}
