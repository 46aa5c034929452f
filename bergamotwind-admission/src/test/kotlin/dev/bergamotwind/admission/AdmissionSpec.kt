package dev.bergamotwind.admission

import arrow.core.Either
import arrow.core.left
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.OperatorConfiguration
import dev.bergamotwind.configuration.Team
import dev.bergamotwind.test.ManualClock
import dev.bergamotwind.test.ThrowingInvariantMonitor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Random
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against lost decisions, leaked concurrency permits or tokens, and requests that must not run but do. */
class AdmissionSpec {
    private val teams = listOf("oak", "elm").map { Team(TeamId(it), Tokens(1_000), Tokens(10_000)) }
    private val configuration = OperatorConfiguration(teams = teams.associateBy { it.id })
    private val clock = ManualClock()
    private val rateLimiter =
        TeamRateLimiter(configuration, clock, ThrowingInvariantMonitor).apply { setSlotDivisor(1) }
    private val state: AdmissionState = AdmissionState(configuration, rateLimiter, clock, 100, 1, ::settle)
    private val decisions = LinkedHashMap<String, Either<Failure, AdmittedRequest>>()

    private fun settle(admitted: AdmittedRequest, tokens: Long) = state.settle(admitted, tokens)

    private fun submit(id: String, tokens: Long = 10, team: String = "oak", deadline: Int = 3_600) = state.submit(
        AdmissionRequest(RequestId(id), TeamId(team), tokens, deadline.seconds.inWholeNanoseconds),
    ) { decisions[id] = it }

    private fun bucketLevel(team: String = "oak") = state.snapshot().rates.first { it.team.value == team }.level

    private fun unfinishedCount(admission: AdmissionController) =
        admission.snapshot.running + admission.snapshot.queueLength

    private fun outcomeOf(id: String) = decisions[id]?.fold({ it.code }, { "admitted" })

    init {
        clock.advance(10.seconds)
    }

    @Test
    fun `settles once, and a settled or cancelled request leaks neither concurrency permit nor tokens`() {
        submit("running", 1_000)
        submit("queued", 1_000)
        submit("cancelled", 1_000)
        assertTrue(state.cancel(RequestId("cancelled")))
        assertEquals(listOf("admitted", null, null), listOf("running", "queued", "cancelled").map(::outcomeOf))
        val running = decisions.getValue("running").getOrNull()!!
        assertEquals(listOf(true, false), List(2) { running.settle(400) })
        assertEquals("admitted", outcomeOf("queued"))
        decisions.getValue("queued").getOrNull()!!.settle(0)
        assertEquals(5_000.0 - 400, bucketLevel())
        assertEquals(listOf(0, 0), state.snapshot().let { listOf(it.running, it.queueLength) })
        assertTrue(!state.cancel(RequestId("running")))
    }

    @Test
    fun `refuses early a request that cannot meet its deadline, and refunds its tokens`() {
        submit("first", 1_000)
        clock.advance(10.seconds)
        decisions.getValue("first").getOrNull()!!.settle(1_000)
        submit("running", 1_000, deadline = 3_600)
        submit("waiting", 1_000, deadline = 3_600)
        val before = bucketLevel()
        submit("hopeless", 10, deadline = 25)
        assertEquals("overloaded", outcomeOf("hopeless"))
        assertEquals(before, bucketLevel())
        submit("other team", 10, team = "elm", deadline = 25)
        clock.advance(6.seconds)
        state.refuseExpired()
        assertEquals("overloaded", outcomeOf("other team"))
    }

    @Test
    fun `reauthorizes a request when it leaves the queue`() {
        submit("running")
        var revoked = false
        val request = AdmissionRequest(RequestId("revoked"), TeamId("oak"), 10, Long.MAX_VALUE) {
            revoked = true
            Failure.Unauthenticated("revoked").left()
        }
        state.submit(request) { decisions["revoked"] = it }
        assertTrue(!revoked)
        decisions.getValue("running").getOrNull()!!.settle(10)
        assertEquals("unauthenticated", outcomeOf("revoked"))
        assertEquals(0, state.snapshot().running)
    }

    @Test
    fun `a team above its rate is refused and does not starve other teams`() {
        repeat(2_000) { submit("oak-$it", 100) }
        repeat(5) { submit("elm-$it", 100, team = "elm") }
        val admitted = ArrayList<String>()
        repeat(10) {
            val next = decisions.entries.first { it.value.isRight() && it.key !in admitted }
            admitted += next.key
            next.value.getOrNull()!!.settle(100)
        }
        assertTrue(admitted.count { it.startsWith("elm") } >= 4) { "$admitted" }
        assertTrue(decisions.values.count { it.leftOrNull() is Failure.RateExceeded } >= 1_900)
    }

    @Test
    fun `decides every request under concurrency, and ends with nothing queued or running`() {
        val undecided = AtomicInteger()
        val decidedTwice = AtomicInteger()
        val admission =
            AdmissionController(configuration, ThrowingInvariantMonitor, queueCapacity = 64, concurrencyLimit = 8)
        admission.start().use {
            admission.rateShareBuckets.setSlotDivisor(1)
            val workers = List(4) { worker ->
                thread {
                    val random = Random(SEED + worker)
                    repeat(STEPS * 25) { number ->
                        val id = RequestId("$worker-$number")
                        val decided = AtomicInteger()
                        undecided.incrementAndGet()
                        val deadline = System.nanoTime() + 5.seconds.inWholeNanoseconds
                        admission.submit(AdmissionRequest(id, teams[worker % 2].id, 1, deadline)) { decision ->
                            if (decided.getAndIncrement() > 0) decidedTwice.incrementAndGet()
                            undecided.decrementAndGet()
                            decision.onRight { admitted -> admitted.settle(random.nextInt(2).toLong()) }
                        }
                        val cancelled = RequestId("$id-cancelled")
                        admission.submit(AdmissionRequest(cancelled, teams[worker % 2].id, 1, deadline)) { decision ->
                            decision.onRight { it.settle(0) }
                        }
                        admission.cancel(cancelled)
                        if (random.nextInt(8) == 0) admission.setConcurrencyLimit(1 + random.nextInt(8))
                    }
                }
            }
            workers.forEach(Thread::join)
            val end = System.nanoTime() + 10.seconds.inWholeNanoseconds
            while (System.nanoTime() < end && (undecided.get() > 0 || unfinishedCount(admission) > 0)) {
                Thread.sleep(20.milliseconds.inWholeMilliseconds)
            }
            assertEquals(listOf(0, 0, 0), listOf(undecided.get(), decidedTwice.get(), unfinishedCount(admission)))
        }
    }
}
