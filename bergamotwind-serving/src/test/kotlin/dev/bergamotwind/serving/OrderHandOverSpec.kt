package dev.bergamotwind.serving

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/**
 * Tests that an engine never gets orders of two VMs within the lease time, nor a lower term after a higher one, however
 * the term passes from one process or VM to another.
 */
class OrderHandOverSpec {
    data class HandOverCase(
        val name: String,
        /** Milliseconds for which the first VM cannot reach the store at its first start. */
        val firstCutMillis: Long = 0,
        val disturb: OrderFleet.(Random) -> Unit,
    ) {
        override fun toString() = name
    }

    // Guards against a hand-over that does not know of all orders of the holders before.
    @ParameterizedTest
    @MethodSource("handOvers")
    fun `engines get orders of one holder at a time when`(case: HandOverCase) {
        val orders = (1..SEEDS).sumOf { seed ->
            val random = Random(FIRST_SEED + seed)
            val fleet = OrderFleet(vmCount = 3, engineCount = 3, random)
            fleet.start(case.firstCutMillis)
            fleet.loop.advance(2_000)
            repeat(DISTURBANCES) {
                fleet.disturb(case, random)
                fleet.loop.advance(random.nextLong(200, 4_000))
            }
            fleet.loop.advance(SETTLE_MILLIS)
            val before = fleet.arrivals.sumOf { it.size }
            assertEquals(null, fleet.fault()) { "seed ${FIRST_SEED + seed}" }
            fleet.loop.advance(2_000)
            assertTrue(fleet.arrivals.sumOf { it.size } > before) { "no orders in the end, seed ${FIRST_SEED + seed}" }
            before
        }
        assertTrue(orders > SEEDS * MIN_ORDERS) { "only $orders orders" }
    }

    private fun OrderFleet.disturb(case: HandOverCase, random: Random) = case.disturb(this, random)

    companion object {
        private val SEEDS = Integer.getInteger("steps", 400) / 40
        private val FIRST_SEED = Integer.getInteger("seed", 20_261_205)
        private const val DISTURBANCES = 8
        private const val MIN_ORDERS = 20

        /** Milliseconds after the last disturbance until there is a holder that orders all engines. */
        private const val SETTLE_MILLIS = 16_000L
        private const val VMS = 3

        private fun OrderFleet.holderOr(random: Random) = holder() ?: random.nextInt(VMS)

        private val killed: OrderFleet.(Random) -> Unit = { kill(holderOr(it), it.nextLong(300, 1_500)) }
        private val stopped: OrderFleet.(Random) -> Unit = { stop(holderOr(it), it.nextLong(300, 1_500)) }
        private val frozen: OrderFleet.(Random) -> Unit = { freeze(holderOr(it), it.nextLong(300, 6_000)) }
        private val cutFromStore: OrderFleet.(Random) -> Unit = { cutFromStore(holderOr(it), it.nextLong(300, 7_000)) }
        private val cutFromVms: OrderFleet.(Random) -> Unit = { cutFromVms(it.nextInt(VMS), it.nextLong(300, 5_000)) }
        private val cutFromEngines: OrderFleet.(Random) -> Unit =
            { cutFromEngines(holderOr(it), it.nextLong(100, 4_000)) }

        private val restored: OrderFleet.(Random) -> Unit =
            { restoreStore(copyMillis = it.nextLong(1, 9_000), awayMillis = it.nextLong(0, 2_500)) }

        private fun anyOf(vararg events: OrderFleet.(Random) -> Unit): OrderFleet.(Random) -> Unit =
            { random -> events.random(random)(random) }

        @JvmStatic
        fun handOvers() = listOf(
            HandOverCase("the holder is stopped", disturb = stopped),
            HandOverCase("the holder is killed and starts again", disturb = killed),
            HandOverCase("the holder is killed, starts again and is stopped", disturb = { random ->
                killed(random)
                loop.advance(random.nextLong(500, 2_500))
                stopped(random)
            }),
            HandOverCase("the holder is killed, starts again and is cut off from the store", disturb = { random ->
                killed(random)
                loop.advance(random.nextLong(500, 2_500))
                cutFromStore(random)
            }),
            HandOverCase("the holder is cut off from the store", disturb = cutFromStore),
            HandOverCase("the holder is cut off from the store and killed", disturb = { random ->
                cutFromStore(random)
                loop.advance(random.nextLong(300, 2_500))
                killed(random)
            }),
            HandOverCase("the holder freezes", disturb = frozen),
            HandOverCase("the holder is cut off from engines and stopped", disturb = { random ->
                cutFromEngines(random)
                loop.advance(random.nextLong(0, 600))
                stopped(random)
            }),
            HandOverCase("a VM first reaches the store late, and holders are stopped", 2_500, disturb = stopped),
            HandOverCase("the store returns from an older copy", disturb = restored),
            HandOverCase("the holder is stopped, and the store returns from an older copy", disturb = { random ->
                restored(random)
                stopped(random)
            }),
            HandOverCase("the holder is killed, and the store returns from an older copy", disturb = { random ->
                restored(random)
                killed(random)
            }),
            HandOverCase("VMs are cut off, and the store returns from an older copy", disturb = { random ->
                restored(random)
                anyOf(frozen, cutFromStore, cutFromVms, cutFromEngines)(random)
                loop.advance(random.nextLong(0, 3_000))
                anyOf(frozen, cutFromStore, cutFromVms, stopped)(random)
            }),
            HandOverCase("anything comes, and the store returns again and again", 1_500, disturb = { random ->
                repeat(random.nextInt(1, 4)) {
                    anyOf(killed, stopped, frozen, cutFromStore, cutFromVms, cutFromEngines, restored, restored)(random)
                    loop.advance(random.nextLong(0, 1_000))
                }
            }),
            HandOverCase("anything of that comes, also together", 1_500, disturb = { random ->
                repeat(random.nextInt(1, 4)) {
                    anyOf(killed, stopped, frozen, cutFromStore, cutFromVms, cutFromEngines)(random)
                    loop.advance(random.nextLong(0, 1_000))
                }
            }),
        )
    }
}
