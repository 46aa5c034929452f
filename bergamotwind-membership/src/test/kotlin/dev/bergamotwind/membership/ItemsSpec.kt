package dev.bergamotwind.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against deltas that lose, resurrect or starve an item when changes, batches and reconnects interleave. */
class ItemsSpec {
    private val seed = System.getProperty("seed", "1").toLong()
    private val steps = System.getProperty("steps", "400").toInt()

    private class Connection(private val store: ItemStore) {
        private val writer = ItemWriter()
        private val cursor = ItemCursor(store)
        val reader = ItemReader()

        fun pass(bytes: Int, now: Long): List<Long> {
            val batch = ItemWriter.Batch()
            writer.write(cursor, batch, bytes, now)
            reader.read(batch.names, batch.items, now)
            return batch.items
        }
    }

    private fun contents(items: Collection<Item>) = items.associate { it.key to it.values }

    @Test
    fun `readers converge under random changes, batch sizes and reconnects`() {
        val random = Random(seed)
        val store = ItemStore()
        val connections = MutableList(3) { Connection(store) }
        var items = emptyList<Item>()
        repeat(steps) { step ->
            val now = step * 1_000_000_000L
            when (random.nextInt(4)) {
                0 -> {
                    items = List(random.nextInt(30)) { randomItem(random, now) }.distinctBy { it.key }
                    store.replace(items, now)
                }

                1 -> connections[random.nextInt(3)] = Connection(store)

                else -> connections.random(random).pass(random.nextInt(200), now)
            }
        }
        connections.forEach { connection ->
            repeat(100) { connection.pass(50, steps * 1_000_000_000L) }
            assertEquals(contents(items), contents(connection.reader.all()), "seed $seed")
        }
    }

    private fun randomItem(random: Random, now: Long): Item {
        val kind = random.nextInt(ItemKinds.LOAD, ItemKinds.DOMAIN + 1)
        return Item(
            ItemKey(
                kind,
                List(random.nextInt(1, 4)) {
                    "n${random.nextInt(4)}"
                },
            ),
            List(2) { random.nextLong(3) },
            now,
        )
    }

    @Test
    fun `items that change all the time are all sent in turn when few bytes are left`() {
        val store = ItemStore()
        val connection = Connection(store)
        val seen = mutableSetOf<ItemKey>()
        repeat(200) { round ->
            val items = List(20) { Item(ItemKey(ItemKinds.DEMAND, listOf("t$it", "m")), listOf(round.toLong()), 0) }
            store.replace(items, round.toLong())
            connection.pass(10, 0)
            if (round > 180) seen += connection.reader.all().filter { it.values[0] > 160 }.map { it.key }
        }
        assertEquals(20, seen.size)
    }

    @Test
    fun `an unchanged load is repeated only after the refresh interval and keeps its age`() {
        val store = ItemStore()
        val connection = Connection(store)
        val second = 1_000_000_000L
        val sizes = List(13) {
            store.replace(listOf(Item(ItemKey(ItemKinds.LOAD, listOf("t")), listOf(1, 2, 0), it * second)), it * second)
            val sent = connection.pass(100, it * second + second / 2)
            if (sent.isNotEmpty()) assertEquals(5, sent[2])
            sent.size
        }
        assertEquals(3, sizes.count { it > 0 })
    }

    @Test
    fun `malformed batches are refused`() {
        for (batch in listOf(listOf(-1L), listOf(64L + 8 + 4, 0), listOf(64L + 8, 0))) {
            assertThrows(LinkException::class.java) { ItemReader().read(emptyList(), batch, 0) }
        }
        assertTrue(ItemReader().apply { read(emptyList(), emptyList(), 0) }.all().isEmpty())
    }
}
