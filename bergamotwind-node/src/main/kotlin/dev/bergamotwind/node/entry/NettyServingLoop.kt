package dev.bergamotwind.node.entry

import dev.bergamotwind.serving.ServingLoop
import dev.bergamotwind.transport.EventLoop

/** [ServingLoop] that runs on the Netty event loop of the connections. */
internal class NettyServingLoop(private val loop: EventLoop) : ServingLoop {
    override fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    override fun wallMillis(): Long = System.currentTimeMillis()

    override fun schedule(delayMillis: Long, action: () -> Unit): () -> Unit = loop.schedule(delayMillis, action)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
