package dev.bergamotwind.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against lost messages, unbounded rings and a duty that dies with one bad message. */
class DutySpec {
    @Test
    fun `handles every accepted message in order of each sender`() {
        val seen = mutableListOf<Int>()
        val duty = Duty("sample", handler<Int> { seen += it }).start()
        repeat(10_000) { number -> while (duty.send(number).isLeft()) Thread.onSpinWait() }
        duty.close()
        assertEquals((0 until 10_000).toList(), seen)
    }

    @Test
    fun `refuses a message when its ring is full`() {
        val release = CountDownLatch(1)
        val duty = Duty("sample", handler<Int> { release.await() }, capacity = 4).start()
        val refused = (0 until 10).count { duty.send(it).isLeft() }
        release.countDown()
        duty.close()
        assertTrue(refused in 5..6) { "refused $refused of 10 with a ring of 4 and one message in hand" }
    }

    @Test
    fun `survives a message whose handling fails`() {
        val handled = CountDownLatch(1)
        val duty = Duty("sample", handler<Int> { if (it == 0) error("bad message") else handled.countDown() }).start()
        duty.send(0)
        duty.send(1)
        assertTrue(handled.await(10, TimeUnit.SECONDS))
        duty.close()
    }

    @Test
    fun `refuses messages after it was closed`() {
        val duty = Duty("sample", handler<Int> { }).start()
        duty.close()
        assertTrue(duty.send(1).isLeft())
    }

    private fun <M : Any> handler(action: (M) -> Unit) = object : DutyHandler<M> {
        override fun handle(message: M) = action(message)
    }
}
