package dev.bergamotwind.serving.store

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.serving.FakeStore
import dev.bergamotwind.serving.ManualLoop
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Tests that the number of calls to the store does not grow with the number of changes, and that changes arrive in
 * time.
 */
class StoreWatcherSpec {
    private class World(var pauseMillis: Long) {
        val loop = ManualLoop()
        val store = FakeStore(loop)
        val seen = HashMap<String, Long>()
        private val listener = object : StoreListener {
            override fun written(item: StoreItem) {
                seen[item.value.decodeToString()] = loop.nowMillis()
            }

            override fun removed(key: String) = Unit

            override fun caughtUp() = Unit

            override fun regained(silentMillis: Long) = Unit
        }
        val follower = StoreWatcher(store, loop, "", Random(1), EventRecorder.None, listener) { pauseMillis }
    }

    @Test
    fun `many changes cost one call in a pause, and each is known within it`() {
        val world = World(pauseMillis = 1_000)
        world.follower.start()
        world.loop.advance(100)
        world.store.calls = 0
        val written = HashMap<String, Long>()
        repeat(100) { number ->
            world.store.put("targets/${number % 7}", "$number".toByteArray())
            written["$number"] = world.loop.nowMillis()
            world.loop.advance(100)
        }
        world.loop.advance(1_100)
        assertTrue(world.store.calls <= 12) { "${world.store.calls} calls in eleven seconds" }
        val latest = written.filterKeys { it.toInt() >= 93 }
        for ((number, time) in latest) {
            assertTrue((world.seen[number] ?: Long.MAX_VALUE) - time <= 1_010) { "$number came too late" }
        }
    }

    @Test
    fun `without a pause every change is known at once`() {
        val world = World(pauseMillis = 0)
        world.follower.start()
        world.loop.advance(100)
        world.store.put("a", "1".toByteArray())
        world.loop.advance(5)
        world.store.put("a", "2".toByteArray())
        world.loop.advance(5)
        assertEquals(setOf("1", "2"), world.seen.keys)
    }
}
