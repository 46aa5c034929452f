package dev.bergamotwind.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against deltas that lose, restore or starve an item when changes, batches and reconnects interleave. */
class ItemExchangeSpec {
    private val seed = System.getProperty("seed", "1").toLong()
    private val steps = System.getProperty("steps", "400").toInt()

    private class ItemStream(private val store: ItemStore) {
        private val writer = ItemWriter()
        private val cursor = ItemCursor(store)
        val reader = ItemReader()

        fun transfer(maximumBytes: Int, now: Long): List<Long> {
            val batch = ItemWriter.Batch()
            writer.writeUnsent(cursor, batch, maximumBytes, now)
            reader.readBatch(batch.newNames, batch.encodedItems, now)
            return batch.encodedItems
        }
    }

    private fun valuesByKey(items: Collection<DigestItem>) = items.associate { it.key to it.values }

    @Test
    fun `readers converge under random changes, batch sizes and reconnects`() {
        val random = Random(seed)
        val store = ItemStore()
        val streams = MutableList(3) { ItemStream(store) }
        var items = emptyList<DigestItem>()
        repeat(steps) { step ->
            val now = step * 1_000_000_000L
            when (random.nextInt(4)) {
                0 -> {
                    items = List(random.nextInt(30)) { randomItem(random, now) }.distinctBy { it.key }
                    store.replaceAll(items, now)
                }

                1 -> streams[random.nextInt(3)] = ItemStream(store)

                else -> streams.random(random).transfer(random.nextInt(200), now)
            }
        }
        streams.forEach { stream ->
            repeat(100) { stream.transfer(50, steps * 1_000_000_000L) }
            assertEquals(valuesByKey(items), valuesByKey(stream.reader.currentItems()), "seed $seed")
        }
    }

    private fun randomItem(random: Random, now: Long): DigestItem {
        val kind = random.nextInt(ItemKinds.TARGET_LOAD, ItemKinds.DOMAIN + 1)
        return DigestItem(
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
    fun `constantly changing items are all sent in turn under a tight byte limit`() {
        val store = ItemStore()
        val stream = ItemStream(store)
        val seen = mutableSetOf<ItemKey>()
        repeat(200) { round ->
            val items =
                List(20) { DigestItem(ItemKey(ItemKinds.TOKEN_DEMAND, listOf("t$it", "m")), listOf(round.toLong()), 0) }
            store.replaceAll(items, round.toLong())
            stream.transfer(10, 0)
            if (round > 180) seen += stream.reader.currentItems().filter { it.values[0] > 160 }.map { it.key }
        }
        assertEquals(20, seen.size)
    }

    @Test
    fun `an unchanged load is sent again only after the refresh interval, with its age`() {
        val store = ItemStore()
        val stream = ItemStream(store)
        val second = 1_000_000_000L
        val batchSizes = List(13) {
            store.replaceAll(
                listOf(DigestItem(ItemKey(ItemKinds.TARGET_LOAD, listOf("t")), listOf(1, 2, 0), it * second)),
                it * second,
            )
            val sent = stream.transfer(100, it * second + second / 2)
            if (sent.isNotEmpty()) assertEquals(5, sent[2])
            sent.size
        }
        assertEquals(3, batchSizes.count { it > 0 })
    }

    @Test
    fun `malformed batches are rejected`() {
        for (batch in listOf(listOf(-1L), listOf(64L + 8 + 4, 0), listOf(64L + 8, 0))) {
            assertThrows(LinkException::class.java) { ItemReader().readBatch(emptyList(), batch, 0) }
        }
        assertTrue(ItemReader().apply { readBatch(emptyList(), emptyList(), 0) }.currentItems().isEmpty())
    }
}
