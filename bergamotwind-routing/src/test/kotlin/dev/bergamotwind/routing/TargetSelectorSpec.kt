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

/** Guards each part of the score, the states of targets and the rule that a leaving target gets no work. */
class TargetSelectorSpec {
    /** Six engines: `e0` and `e3` are near, `e1` and `e4` in the same region. */
    data class Case(
        val name: String,
        val expected: String,
        val ask: TargetFixture.Ask = TargetFixture.Ask(),
        val prepare: TargetFixture.() -> TargetFixture,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `selects with`(case: Case) = assertEquals(case.expected, case.prepare(TargetFixture(6)).select(case.ask))

    @Test
    fun `bounds the load that one prefix puts on its target`() {
        val fixture = TargetFixture(12).all().report("e0", change = ::warm)
        val chosen = List(8) { fixture.select(PREFIX).also { fixture.started(it) } }.groupingBy { it }.eachCount()
        // Of 4 near targets with 9 requests, none may have more than 1.25 times the mean, rounded up.
        assertTrue(chosen.values.max() == 3 && chosen["e0"] == 3) { "$chosen" }
    }

    @Test
    fun `gives the same choices for the same seed and others for another`() {
        fun choices(seed: Long) = TargetFixture(30, seed).all().run { List(50) { select() } }
        assertEquals(choices(1), choices(1))
        assertTrue(choices(1) != choices(2))
    }

    @Test
    fun `ejects for a growing time and lets the target back as suspect`() {
        val fixture = TargetFixture(6).all()
        for (ejection in listOf(5.seconds, 10.seconds)) {
            fixture.call("e0", CallOutcome.FAILED, 3).advance(ejection - 1.seconds)
            assertEquals("ejected", fixture.state("e0"))
            assertEquals("suspect", fixture.advance(1.seconds).state("e0"))
        }
        assertEquals("healthy", fixture.call("e0", CallOutcome.ANSWERED).state("e0"))
    }

    /** Random reports, signals and calls; the throwing monitor fails the run when a leaving target is chosen. */
    @Test
    fun `never chooses a leaving target and always finds one of the others`() {
        val random = Random(System.getProperty("seed", "1").toLong())
        val fixture = TargetFixture(9).all()
        repeat(System.getProperty("steps", "400").toInt() * 25) {
            val id = "e${random.nextInt(9)}"
            val leaving = random.nextInt(3) == 0
            when (random.nextInt(6)) {
                0 -> fixture.report(id, random.nextInt(9), random.nextInt(3)) { it.copy(leaving = leaving) }
                1 -> fixture.table.signal(TargetId(id), LeavingSignal.entries.random(random), leaving)
                2 -> if (fixture.state(id) != "leaving") fixture.call(id, CallOutcome.entries.random(random))
                3 -> fixture.advance(random.nextInt(8).seconds)
            }
            val able = fixture.table.status().filter { it.state != "leaving" }.map { it.target.id.value }
            val chosen = fixture.select()
            assertTrue(chosen in able.ifEmpty { listOf("unavailable") }) { "$chosen not in $able" }
        }
    }

    @Test
    @EnabledIfSystemProperty(named = "measure", matches = "true")
    fun `prints the time of a selection and the memory of a target`() {
        for (count in listOf(10, 100, 1_000)) {
            val nanos = Histogram(2)
            val fixture = TargetFixture(count).all(::large)
            repeat(60_000) { turn ->
                val start = System.nanoTime()
                val chosen = fixture.select(TargetFixture.Ask("adapter-3", "prefix-${turn % 40}"))
                if (turn >= 20_000) nanos.recordValue(System.nanoTime() - start)
                fixture.call(chosen, CallOutcome.ANSWERED)
            }
            println("targets=$count mean_ns=${nanos.mean.toLong()} p99_ns=${nanos.getValueAtPercentile(99.0)}")
        }
        val before = usedBytes()
        val fixture = TargetFixture(MEMORY_TARGETS).all(::large)
        println("bytes_per_target=${(usedBytes() - before) / MEMORY_TARGETS} state=${fixture.state("e0")}")
    }

    private fun usedBytes(): Long {
        repeat(3) { System.gc().also { Thread.sleep(100) } }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    companion object {
        private const val MEMORY_TARGETS = 20_000
        private val PREFIX = TargetFixture.Ask(prefix = "p")

        private fun warm(report: EngineReport) = report.copy(warmPrefixes = listOf("p"))

        private fun adapter(report: EngineReport) = report.copy(
            artifacts =
            report.artifacts + TargetFixture.artifact("a"),
        )

        /** A report with 8 adapters and 20 warm prefixes. */
        private fun large(report: EngineReport) = report.copy(
            artifacts = report.artifacts + List(8) { TargetFixture.artifact("adapter-$it") },
            warmPrefixes = List(20) { "prefix-${report.target.value.hashCode() % 20 + it}" },
        )

        private fun without(report: EngineReport) = report.copy(artifacts = emptyList())

        @JvmStatic
        fun cases() = listOf(
            Case("no report: an engine of the own failure domain", "e3", TargetFixture.Ask(excluded = "e0")) { this },
            Case("no engine that has the model", "unavailable") { all(::without) },
            Case("distance: the own failure domain", "e0") { configure { it.takeIf { it.id.value != "e3" } }.all() },
            Case("distance: the own region", "e4") { all().report("e0", 9, 9).report("e3", 9, 9).report("e1", 9, 9) },
            Case("load: a target that queues is left", "e3") { all().report("e0", 8, 4) },
            Case("own requests since the report", "e3") { all().started("e0", 3) },
            Case("own requests that a later report contains", "e0") {
                all { it.copy(running = 2) }.started("e0", 3).advance(2.seconds).report("e0", 1)
            },
            Case("slow first tokens", "e3") { all().firstToken("e0", 900.milliseconds) },
            Case("a warm prefix", "e3", PREFIX) { all().report("e3", change = ::warm) },
            Case("a resident adapter", "e3", TargetFixture.Ask("a")) { all().report("e3", change = ::adapter) },
            Case("a suspect target", "e3") { all().call("e0", CallOutcome.FAILED) },
            Case("the last target of a model ejected", "e0") {
                all(::without).report("e0").call("e0", CallOutcome.FAILED, 5)
            },
            Case("the last target of a model leaving", "unavailable") {
                all(::without).report("e0").call("e0", CallOutcome.DRAINING)
            },
            Case("an X-Draining refusal older than its lifetime", "e0") {
                all(
                    ::without,
                ).report("e0").call("e0", CallOutcome.DRAINING).advance(LEAVING_SIGNAL_LIFETIME + 1.seconds)
            },
            Case("a target that its configuration says is leaving", "e3") {
                all().configure { it.copy(leaving = it.id.value == "e0") }
            },
            Case("a target that was removed", "e3") { all().configure { it.takeIf { it.id.value != "e0" } } },
            Case("an older report that arrives late", "e3") {
                all().report("e0") { it.copy(wallMillis = 90, running = 9) }.report("e0") { it.copy(wallMillis = 80) }
            },
            Case("an engine that only decodes", "e3") { all().report("e0") { it.copy(role = EngineRole.DECODE) } },
            Case("a replica of the service only", "e4", TargetFixture.Ask(route = "r")) {
                configure { if (it.id.value == "e4") it.copy(kind = TargetKind.SERVICE, route = RouteId("r")) else it }
            },
        )
    }
}
