package dev.bergamotwind.core

import dev.bergamotwind.api.Clock
import dev.bergamotwind.api.EventField
import dev.bergamotwind.api.EventKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against a time line that orders an effect before its cause, or grows without bound. */
class TimeLineSpec {
    private class StoppedClock(var millis: Long) : Clock {
        override fun monotonicNanos() = 0L

        override fun wallMillis() = millis
    }

    @Test
    fun `orders a received event after its cause when the receiver's wall clock is behind`() {
        val sender = HybridLogicalClock(StoppedClock(5_000))
        val receiver = HybridLogicalClock(StoppedClock(1_000))
        val sent = sender.now()
        assertTrue(receiver.receive(sent) > sent)
        assertTrue(receiver.now() > sent)
    }

    @Test
    fun `never goes back when the wall clock does`() {
        val clock = StoppedClock(5_000)
        val hybrid = HybridLogicalClock(clock)
        val first = hybrid.now()
        clock.millis = 10
        assertTrue(hybrid.now() > first)
    }

    @Test
    fun `keeps the newest events`() {
        val timeLine = TimeLine("node-1", capacity = 3)
        repeat(5) { timeLine.record(EventKind("sample"), null, listOf(EventField("number", "$it"))) }
        assertEquals(listOf("2", "3", "4"), timeLine.snapshot().map { it.fields.single().value })
    }

    @Test
    fun `quotes values that would break the line`() {
        val event = TimeLineEvent(
            HybridTime(1, 0),
            "p",
            EventKind("k"),
            fields = listOf(EventField("a", "x y=\"z\"\n")),
        )
        assertEquals("time=1.0 process=p event=k a=\"x y=\\\"z\\\"\\n\"", event.toLine())
    }
}
