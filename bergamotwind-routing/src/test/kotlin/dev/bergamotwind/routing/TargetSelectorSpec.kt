package dev.bergamotwind.routing

import dev.bergamotwind.api.EngineReport
import dev.bergamotwind.api.EngineRole
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.configuration.TargetKind
import org.HdrHistogram.Histogram
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.condition.EnabledIfSystemProperty
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Checks each part of the score, the state transitions of targets and that a leaving target gets no requests. */
class TargetSelectorSpec {
    /** Selection among six engines: `e0` and `e3` are in the own failure domain, `e1` and `e4` in the same region. */
    data class Case(
        val name: String,
        val expected: String,
        val input: TargetFixture.SelectionInput = TargetFixture.SelectionInput(),
        val prepare: TargetFixture.() -> TargetFixture,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `selects with`(case: Case) = assertEquals(case.expected, case.prepare(TargetFixture(6)).select(case.input))

    @Test
    fun `bounds the load of one target by requests with the same prefix`() {
        val fixture = TargetFixture(12).reportAll().report("e0", change = ::withWarmPrefix)
        val chosen = List(8) { fixture.select(PREFIX).also { fixture.startCalls(it) } }.groupingBy { it }.eachCount()
        // With 9 requests on the 4 nearest targets, none may have more than 1.25 times the mean, rounded up.
        assertTrue(chosen.values.max() == 3 && chosen["e0"] == 3) { "$chosen" }
    }

    @Test
    fun `selects the same targets for the same seed and others for another seed`() {
        fun choices(seed: Long) = TargetFixture(30, seed).reportAll().run { List(50) { select() } }
        assertEquals(choices(1), choices(1))
        assertTrue(choices(1) != choices(2))
    }

    @Test
    fun `doubles each ejection and readmits the target as suspect`() {
        val fixture = TargetFixture(6).reportAll()
        for (ejection in listOf(5.seconds, 10.seconds)) {
            fixture.completeCalls("e0", CallOutcome.FAILED, 3).advance(ejection - 1.seconds)
            assertEquals("ejected", fixture.state("e0"))
            assertEquals("suspect", fixture.advance(1.seconds).state("e0"))
        }
        assertEquals("healthy", fixture.completeCalls("e0", CallOutcome.ANSWERED).state("e0"))
    }

    /** Random reports, signals and calls; the throwing monitor fails the test when a leaving target is selected. */
    @Test
    fun `never selects a leaving target and always selects one of the others`() {
        val random = Random(System.getProperty("seed", "1").toLong())
        val fixture = TargetFixture(9).reportAll()
        repeat(System.getProperty("steps", "400").toInt() * 25) {
            val id = "e${random.nextInt(9)}"
            val leaving = random.nextInt(3) == 0
            when (random.nextInt(6)) {
                0 -> fixture.report(id, random.nextInt(9), random.nextInt(3)) { it.copy(leaving = leaving) }
                1 -> fixture.table.setLeavingSignal(TargetId(id), LeavingSignal.entries.random(random), leaving)
                2 -> if (fixture.state(id) != "leaving") fixture.completeCalls(id, CallOutcome.entries.random(random))
                3 -> fixture.advance(random.nextInt(8).seconds)
            }
            val notLeaving = fixture.table.statuses().filter { it.state != "leaving" }.map { it.target.id.value }
            val chosen = fixture.select()
            assertTrue(chosen in notLeaving.ifEmpty { listOf("unavailable") }) { "$chosen not in $notLeaving" }
        }
    }

    @Test
    @EnabledIfSystemProperty(named = "measure", matches = "true")
    fun `prints the latency of a selection and the memory per target`() {
        for (count in listOf(10, 100, 1_000)) {
            val nanos = Histogram(2)
            val fixture = TargetFixture(count).reportAll(::withLargeReport)
            repeat(60_000) { round ->
                val start = System.nanoTime()
                val chosen = fixture.select(TargetFixture.SelectionInput("adapter-3", "prefix-${round % 40}"))
                if (round >= 20_000) nanos.recordValue(System.nanoTime() - start)
                fixture.completeCalls(chosen, CallOutcome.ANSWERED)
            }
            println("targets=$count mean_ns=${nanos.mean.toLong()} p99_ns=${nanos.getValueAtPercentile(99.0)}")
        }
        val before = usedBytes()
        val fixture = TargetFixture(MEMORY_TARGETS).reportAll(::withLargeReport)
        println("bytes_per_target=${(usedBytes() - before) / MEMORY_TARGETS} state=${fixture.state("e0")}")
    }

    private fun usedBytes(): Long {
        repeat(3) { System.gc().also { Thread.sleep(100) } }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    companion object {
        private const val MEMORY_TARGETS = 20_000
        private val PREFIX = TargetFixture.SelectionInput(prefix = "p")

        private fun withWarmPrefix(report: EngineReport) = report.copy(warmPrefixes = listOf("p"))

        private fun withAdapter(report: EngineReport) = report.copy(
            artifacts =
            report.artifacts + TargetFixture.artifact("a"),
        )

        /** A report with 8 adapters and 20 warm prefixes. */
        private fun withLargeReport(report: EngineReport) = report.copy(
            artifacts = report.artifacts + List(8) { TargetFixture.artifact("adapter-$it") },
            warmPrefixes = List(20) { "prefix-${report.target.value.hashCode() % 20 + it}" },
        )

        private fun withoutModels(report: EngineReport) = report.copy(artifacts = emptyList())

        @JvmStatic
        fun cases() = listOf(
            Case(
                "no report yet: an engine of the own domain",
                "e3",
                TargetFixture.SelectionInput(excluded = "e0"),
            ) {
                this
            },
            Case("no engine with the model", "unavailable") { reportAll(::withoutModels) },
            Case("distance: the own failure domain", "e0") {
                configure { it.takeIf { it.id.value != "e3" } }.reportAll()
            },
            Case("distance: the own region", "e4") {
                reportAll().report("e0", 9, 9).report("e3", 9, 9).report("e1", 9, 9)
            },
            Case("load: a target that queues requests", "e3") { reportAll().report("e0", 8, 4) },
            Case("own requests sent after the last report", "e3") { reportAll().startCalls("e0", 3) },
            Case("own requests included in a later report", "e0") {
                reportAll { it.copy(running = 2) }.startCalls("e0", 3).advance(2.seconds).report("e0", 1)
            },
            Case("slow first tokens", "e3") { reportAll().recordFirstToken("e0", 900.milliseconds) },
            Case("a warm prefix", "e3", PREFIX) { reportAll().report("e3", change = ::withWarmPrefix) },
            Case("a resident adapter", "e3", TargetFixture.SelectionInput("a")) {
                reportAll().report("e3", change = ::withAdapter)
            },
            Case("a suspect target", "e3") { reportAll().completeCalls("e0", CallOutcome.FAILED) },
            Case("only an ejected target of the model", "e0") {
                reportAll(::withoutModels).report("e0").completeCalls("e0", CallOutcome.FAILED, 5)
            },
            Case("only a leaving target of the model", "unavailable") {
                reportAll(::withoutModels).report("e0").completeCalls("e0", CallOutcome.DRAINING)
            },
            Case("an X-Draining refusal older than its lifetime", "e0") {
                reportAll(
                    ::withoutModels,
                ).report("e0").completeCalls("e0", CallOutcome.DRAINING).advance(LEAVING_SIGNAL_LIFETIME + 1.seconds)
            },
            Case("a target marked as leaving in the configuration", "e3") {
                reportAll().configure { it.copy(leaving = it.id.value == "e0") }
            },
            Case("a target removed from the configuration", "e3") {
                reportAll().configure { it.takeIf { it.id.value != "e0" } }
            },
            Case("an outdated report that arrives late", "e3") {
                reportAll().report("e0") { it.copy(wallMillis = 90, running = 9) }
                    .report("e0") { it.copy(wallMillis = 80) }
            },
            Case("an engine that only decodes", "e3") {
                reportAll().report("e0") {
                    it.copy(role = EngineRole.DECODE)
                }
            },
            Case("a service replica for a service route", "e4", TargetFixture.SelectionInput(route = "r")) {
                configure { if (it.id.value == "e4") it.copy(kind = TargetKind.SERVICE, route = RouteId("r")) else it }
            },
        )
    }
}
