package dev.bergamotwind.serving.crash

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.ManualLoop
import dev.bergamotwind.serving.Samples
import dev.bergamotwind.serving.call.PromptPartId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

/** Tests which crashes count against a prompt part, and that what VMs know converges and is bounded. */
@OptIn(ExperimentalSerializationApi::class)
class PromptQuarantineSpec {
    private class Vm(val loop: ManualLoop = ManualLoop(10_000)) {
        val quarantine = PromptQuarantine(loop, 8_000, EventRecorder.None, { _, reply -> reply(true) }) {}

        fun crash(id: Long, vararg parts: Long) = quarantine.onCrash(
            EngineCrash(
                EngineCrashId(id),
                TargetId("e"),
                loop.nowMillis(),
                parts.map { PromptPartId(it) }.toSet(),
            ),
        )

        fun answer(part: Long) = quarantine.onSound(request(part), loop.nowMillis())

        fun refused() = quarantine.refusedParts.map { it.id.value }.toSet()
    }

    data class CrashCase(val name: String, val gaps: List<Long>, val answeredAfter: Int?, val isRefused: Boolean) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("crashCases")
    fun `refuses a part after three crashes with causes of their own and no answer between them`(case: CrashCase) {
        val vm = Vm()
        case.gaps.forEachIndexed { index, gap ->
            vm.loop.advance(gap)
            vm.crash(index.toLong(), PART)
            if (index == case.answeredAfter) {
                vm.loop.advance(10)
                vm.answer(PART)
            }
        }
        assertEquals(if (case.isRefused) setOf(PART) else emptySet(), vm.refused())
    }

    // Guards against VMs that go on refusing a part, or go on sending it, because reports cross each other.
    @Test
    fun `VMs agree after reports that are lost, repeated and reordered`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val loop = ManualLoop(10_000)
            val vms = List(4) { Vm(loop) }
            val inFlight = mutableListOf<PromptPartReport>()
            repeat(60) { step ->
                loop.advance(random.nextLong(300))
                val part = random.nextLong(3)
                if (random.nextInt(4) ==
                    0
                ) {
                    vms.random(random).answer(part)
                } else {
                    vms.random(random).crash(step.toLong(), part)
                }
                vms.forEach { inFlight += it.quarantine.reports() }
                repeat(random.nextInt(6)) { inFlight.randomOrNull(random)?.let(vms.random(random).quarantine::apply) }
            }
            // Refused parts are repeated from time to time, so that lost reports do no lasting harm.
            repeat(40) {
                loop.advance(250)
                val reports = vms.flatMap { it.quarantine.reports() }
                vms.forEach { vm -> reports.forEach(vm.quarantine::apply) }
            }
            assertEquals(1, vms.map { it.refused() }.distinct().size, "seed $seed")
        }
    }

    // Guards against state and datagrams that grow with the number of prompts.
    @Test
    fun `suspects and reports are bounded however many parts are in flight at crashes`() {
        val vm = Vm()
        repeat(500) { crash ->
            vm.loop.advance(200)
            vm.crash(crash.toLong(), *LongArray(20) { Random(crash * 20 + it).nextLong() }, PART)
        }
        val bytes = vm.quarantine.reports().sumOf { Cbor.encodeToByteArray(PromptPartReport.serializer(), it).size }
        assertTrue(vm.quarantine.statuses.size <= SUSPECT_PART_LIMIT)
        assertTrue(bytes <= 4_096) { "$bytes bytes" }
        assertEquals(setOf(PART), vm.refused())
    }

    // Guards against a part that is refused for ever after nobody asks for it any more.
    @Test
    fun `a suspicion ends when nothing has renewed it`() {
        val vm = Vm()
        repeat(3) {
            vm.loop.advance(1_000)
            vm.crash(it.toLong(), PART)
        }
        vm.loop.advance(SUSPICION_LIFETIME_MILLIS)
        vm.quarantine.removeExpired()
        assertEquals(setOf(PART), vm.refused())
        vm.loop.advance(8_000)
        vm.quarantine.removeExpired()
        assertEquals(emptySet<Long>(), vm.refused())
    }

    // Guards against trials that cost an engine at a steady rate.
    @Test
    fun `each failed trial doubles the time until the next one`() {
        val vm = Vm()
        val waits = (0 until 6L).map {
            // The first three come in a burst, the others from trials.
            vm.loop.advance(if (it < 3) 1_000 else 10_000)
            vm.crash(it, PART)
            vm.quarantine.refusal(request(PART))?.retryAfterMillis
        }
        assertEquals(listOf(null, null, 8_000L, 16_000L, 32_000L, 64_000L), waits)
    }

    private companion object {
        const val PART = 7L

        fun request(part: Long) = Samples.work(parts = listOf(part, 99))

        @JvmStatic
        fun crashCases() = listOf(
            CrashCase("three crashes", listOf(0, 500, 500), null, true),
            CrashCase("two crashes", listOf(0, 500), null, false),
            CrashCase("three engines that fail at once", listOf(0, 20, 20), null, false),
            CrashCase("an answer after the second of four", listOf(0, 500, 500, 500), 1, false),
            CrashCase("an answer after the first of four", listOf(0, 500, 500, 500), 0, true),
            CrashCase("an answer after the third", listOf(0, 500, 500), 2, false),
        )
    }
}
