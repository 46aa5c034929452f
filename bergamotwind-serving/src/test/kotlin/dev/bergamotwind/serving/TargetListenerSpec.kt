package dev.bergamotwind.serving

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.targets.TargetRecord
import dev.bergamotwind.serving.targets.TargetRegistry
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Tests that removed targets get no requests, and that targets which only could not write their entry are kept. */
class TargetListenerSpec {
    data class RemovalCase(
        val name: String,
        val clockOriginMillis: Long,
        val outageMillis: Long?,
        val rewrittenAfterMillis: Long?,
        val expectedKnownAt: Map<Long, Boolean>,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("removals")
    fun `removes a target at once, or after an outage only when its entry is not written again`(case: RemovalCase) {
        val loop = ManualLoop(case.clockOriginMillis)
        val book = TargetRegistry(loop)
        val listener = TargetListener(book, loop, Decoder, EventRecorder.None)
        listener.onItemWritten(item("t1"))
        case.outageMillis?.let(listener::onStoreRecovered)
        listener.onKeyRemoved("targets/t1")
        case.rewrittenAfterMillis?.let { loop.schedule(it) { listener.onItemWritten(item("t1")) } }
        var elapsed = 0L
        for ((atMillis, isKnown) in case.expectedKnownAt.toSortedMap()) {
            loop.advance(atMillis - elapsed)
            elapsed = atMillis
            assertEquals(isKnown, book.target(TargetId("t1")) != null) { "after $atMillis ms" }
        }
    }

    @ParameterizedTest
    @MethodSource("unreadable")
    fun `an undecodable entry removes its target`(text: String) {
        val loop = ManualLoop()
        val book = TargetRegistry(loop)
        val listener = TargetListener(book, loop, Decoder, EventRecorder.None)
        listener.onItemWritten(item("t1"))
        listener.onItemWritten(item("t2"))
        listener.onItemWritten(item("t1", text))
        assertEquals(listOf(TargetId("t2")), book.all.map { it.record.id })
    }

    private object Decoder : StoreDecoder {
        override fun configuration(item: StoreItem): Either<String, ServedConfiguration> = "none".left()

        override fun target(item: StoreItem): Either<String, TargetRecord> = if (item.value.decodeToString() ==
            "good"
        ) {
            Samples.record(targetId(item.key).value).right()
        } else {
            "bad".left()
        }

        override fun targetId(key: String): TargetId = TargetId(key.removePrefix("targets/"))
    }

    companion object {
        private fun item(name: String, text: String = "good") = StoreItem("targets/$name", text.toByteArray(), 2, 1, 0)

        // The monotonic clock may start anywhere: a sum with the smallest Long once kept removed targets in the book.
        @JvmStatic
        fun removals() = listOf(
            RemovalCase("at once, clock above 0", 1_000_000, null, null, mapOf(0L to false)),
            RemovalCase("at once, clock below 0", -1_000_000, null, null, mapOf(0L to false)),
            RemovalCase("at once after a short outage", 0, 1_200, null, mapOf(0L to false)),
            RemovalCase(
                "delayed after a long outage",
                0,
                5_000,
                null,
                mapOf(0L to true, 2_000L to true, 2_200L to false),
            ),
            RemovalCase(
                "not when the entry is written again",
                0,
                5_000,
                1_500,
                mapOf(
                    0L to true,
                    2_200L to true,
                    9_000L to true,
                ),
            ),
        )

        @JvmStatic
        fun unreadable() = listOf("", "bad", "{}")
    }
}
