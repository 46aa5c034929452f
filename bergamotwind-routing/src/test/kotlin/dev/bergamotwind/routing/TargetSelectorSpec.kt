package dev.bergamotwind.routing

import dev.bergamotwind.api.EngineRole
import dev.bergamotwind.api.TargetId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards each part of the score, the states of targets and the rule that a leaving target gets no work. */
class TargetSelectorSpec {
    data class Case(
        val name: String,
        val expected: String,
        val targets: Int = 3,
        val run: TargetFixture.() -> String = { select() },
        val prepare: TargetFixture.() -> Unit = {},
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `selects with`(case: Case) {
        val fixture = TargetFixture(case.targets)
        case.prepare(fixture)
        assertEquals(case.expected, case.run(fixture))
    }

    @Test
    fun `bounds the load that one prefix puts on its target`() {
        val fixture = TargetFixture(12)
        repeat(12) {
            fixture.report("e$it") { report ->
                report.copy(
                    warmPrefixes = if (it ==
                        0
                    ) {
                        listOf("p")
                    } else {
                        listOf()
                    },
                )
            }
        }
        val counts = List(8) {
            fixture.select(fixture.query(prefix = "p")).also { fixture.table.started(TargetId(it)) }
        }
            .groupingBy { it }.eachCount()
        // Of 4 near targets with 9 requests, none may have more than 1.25 times the mean, rounded up.
        assertTrue(counts.values.max() == 3 && counts["e0"] == 3) { "$counts" }
    }

    @Test
    fun `gives the same choices for the same seed and others for another`() {
        fun choices(seed: Long) = TargetFixture(30, seed = seed).run {
            repeat(30) { report("e$it") }
            List(50) { select() }
        }
        assertEquals(choices(1), choices(1))
        assertTrue(choices(1) != choices(2))
    }

    @Test
    fun `ejects for a growing time and lets the target back as suspect`() {
        val fixture = TargetFixture(6)
        repeat(6) { fixture.report("e$it") }
        for (ejection in listOf(5.seconds, 10.seconds)) {
            repeat(3) { fixture.call("e0", CallOutcome.FAILED) }
            fixture.clock.advance(ejection - 1.seconds)
            assertEquals("ejected", fixture.state("e0"))
            fixture.clock.advance(1.seconds)
            assertEquals("suspect", fixture.state("e0"))
        }
        fixture.call("e0", CallOutcome.ANSWERED)
        assertEquals("healthy", fixture.state("e0"))
    }

    /** Random reports, signals and calls; the throwing monitor fails the run when a leaving target is chosen. */
    @Test
    fun `never chooses a leaving target and always finds one of the others`() {
        val random = Random(System.getProperty("seed", "1").toLong())
        val fixture = TargetFixture(9)
        repeat(System.getProperty("steps", "400").toInt() * 25) {
            val id = "e${random.nextInt(9)}"
            when (random.nextInt(6)) {
                0 -> fixture.report(id, random.nextInt(9), random.nextInt(3)) {
                    it.copy(leaving = random.nextInt(3) == 0)
                }

                1 -> fixture.table.signal(TargetId(id), LeavingSignal.entries.random(random), random.nextBoolean())

                2 -> if (fixture.state(id) != "leaving") fixture.call(id, CallOutcome.entries.random(random))

                3 -> fixture.clock.advance(random.nextInt(8).seconds)

                else -> {
                    val able = fixture.table.status().filter { it.state != "leaving" && it.report != null }
                    val chosen = fixture.select()
                    val possible = able.map { it.target.id.value }
                    val unreported = fixture.table.status().all { it.report == null }
                    assertTrue(unreported || chosen in possible.ifEmpty { listOf("unavailable") }) {
                        "$chosen not in $possible"
                    }
                }
            }
        }
    }

    companion object {
        private fun TargetFixture.state(id: String) = table.status().first { it.target.id.value == id }.state

        private fun TargetFixture.all(targets: Int = 6) = repeat(targets) { report("e$it") }

        @JvmStatic
        fun cases() = scoreCases() + stateCases()

        private fun scoreCases() = listOf(
            Case("no report: an engine of the own failure domain", "e0"),
            Case("no engine that has the model", "unavailable") {
                all(3).also { report("e0") { it.copy(artifacts = listOf()) } }
                listOf("e1", "e2").forEach { id -> report(id) { it.copy(artifacts = listOf()) } }
            },
            Case("distance: the own failure domain", "e0") { all(3) },
            Case("distance: the own region", "e1", run = { select(query(excluded = listOf("e0"))) }) { all(3) },
            Case("load: a nearer target that queues is left", "e1") {
                report("e0", 8, 4)
                report("e1")
            },
            Case("own requests since the report", "e3", targets = 6) {
                all()
                repeat(3) { table.started(TargetId("e0")) }
            },
            Case("own requests that a later report contains", "e0", targets = 6) {
                report("e0")
                report("e3", running = 2)
                repeat(3) { table.started(TargetId("e0")) }
                clock.advance(2.seconds)
                report("e0", running = 1)
            },
            Case("slow first tokens", "e3", targets = 6) {
                all()
                repeat(5) { table.firstToken(TargetId("e0"), 900.milliseconds) }
            },
            Case("a warm prefix", "e3", targets = 6, run = { select(query(prefix = "p")) }) {
                report("e0")
                report("e3") { it.copy(warmPrefixes = listOf("p")) }
            },
            Case("a resident adapter", "e3", targets = 6, run = { select(query(adapter = "a")) }) {
                report("e0")
                report("e3") { TargetFixture.withAdapter(it, "a") }
            },
        )

        private fun stateCases() = listOf(
            Case("a suspect target", "e3", targets = 6) {
                all()
                call("e0", CallOutcome.FAILED)
            },
            Case("the last target of a model ejected", "e0") {
                report("e0")
                repeat(5) { call("e0", CallOutcome.FAILED) }
            },
            Case("the last target of a model leaving", "unavailable") {
                report("e0")
                call("e0", CallOutcome.DRAINING)
            },
            Case("a refusal with X-Draining older than its lifetime", "e0") {
                report("e0")
                call("e0", CallOutcome.DRAINING)
                clock.advance(LEAVING_SIGNAL_LIFETIME + 1.seconds)
            },
            Case("a target that its configuration says is leaving", "e3", targets = 6) {
                all()
                configure { all -> all.map { if (it.id.value == "e0") it.copy(leaving = true) else it } }
            },
            Case("a target that was removed", "e3", targets = 6) {
                all()
                configure { all -> all.filter { it.id.value != "e0" } }
            },
            Case("an older report that arrives late", "e3", targets = 6) {
                report("e3")
                report("e0") { it.copy(wallMillis = 90, running = 9) }
                report("e0") { it.copy(wallMillis = 80, running = 0) }
            },
            Case("an engine that only decodes", "e3", targets = 6) {
                all()
                report("e0") { it.copy(role = EngineRole.DECODE) }
            },
        )
    }
}
