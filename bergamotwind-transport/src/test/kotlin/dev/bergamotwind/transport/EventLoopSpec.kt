package dev.bergamotwind.transport

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against a process that goes on without its event loop, looks alive and answers nothing. */
class EventLoopSpec {
    @ParameterizedTest
    @CsvSource("false, true", "true, false")
    fun `tells of the end of its thread unless it was closed`(closes: Boolean, tells: Boolean) {
        val end = CountDownLatch(1)
        val loop = EventLoop(onUnexpectedEnd = end::countDown)
        val started = CountDownLatch(1)
        loop.execute(started::countDown)
        assertTrue(started.await(5, TimeUnit.SECONDS))
        // Ends the thread as an error does that the loop cannot handle.
        if (closes) loop.close() else loop.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
        assertTrue(loop.group.awaitTermination(5, TimeUnit.SECONDS))
        assertEquals(tells, end.await(if (tells) 5_000 else 100, TimeUnit.MILLISECONDS))
    }
}
