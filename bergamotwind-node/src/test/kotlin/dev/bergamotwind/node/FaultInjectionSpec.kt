package dev.bergamotwind.node

import com.linecorp.armeria.common.AggregatedHttpResponse
import dev.bergamotwind.test.EngineCompletion
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Guards against repeated executions, false "not run" errors and truncated responses while node processes are killed
 * and suspended, and while the platform is unavailable or loses responses to calls that took effect.
 */
class FaultInjectionSpec {
    private class OrderOutcome(val order: String, val answers: List<AggregatedHttpResponse?>)

    private class StreamOutcome(val prompt: String, val answer: AggregatedHttpResponse?)

    private val orders = ConcurrentLinkedQueue<OrderOutcome>()
    private val streams = ConcurrentLinkedQueue<StreamOutcome>()

    @Volatile
    private var running = true

    @Test
    fun `runs each order at most once and truncates no stream under kills, suspensions and platform faults`() {
        val random = Random(System.getProperty("seed", "1").toLong())
        TestDeployment(tokenDelayMillis = 2, count = 3, processes = true).use { deployment ->
            val callers = List(4) { caller -> thread { sendRequests(deployment, caller, Random(random.nextLong())) } }
            injectFaults(deployment)
            running = false
            callers.forEach(Thread::join)
            deployment.platform.faults = deployment.platform.faults.copy(loseAnswers = 0.0, unavailable = false)
            checkOutcomes(deployment)
        }
    }

    private fun injectFaults(deployment: TestDeployment) {
        val (killed, suspended) = deployment.nodes.filterIsInstance<NodeProcess>()
        Thread.sleep(1_000)
        deployment.platform.faults = deployment.platform.faults.copy(loseAnswers = 0.3)
        Thread.sleep(2_000)
        killed.kill()
        suspended.signal("STOP")
        // Longer than the leases of rate units and of placement ownership.
        Thread.sleep(7_000)
        suspended.signal("CONT")
        deployment.platform.faults = deployment.platform.faults.copy(unavailable = true)
        Thread.sleep(3_000)
        deployment.platform.faults = deployment.platform.faults.copy(unavailable = false, loseAnswers = 0.1)
        Thread.sleep(3_000)
    }

    private fun sendRequests(deployment: TestDeployment, caller: Int, random: Random) {
        var number = 0
        while (running) {
            val name = "$caller-${number++}"
            val repeats = List(2) { deployment.nodes.random(random) }
            orders +=
                OrderOutcome(
                    "kit $name",
                    repeats.map { node ->
                        awaitAnswer { deployment.postOrder(node, "kit $name", name) }
                    },
                )
            val answer =
                awaitAnswer {
                    deployment.requestCompletion(deployment.nodes.random(random), "ask $name", stream = true)
                }
            streams += StreamOutcome("ask $name", answer)
        }
    }

    private fun awaitAnswer(send: () -> java.util.concurrent.CompletableFuture<AggregatedHttpResponse>) =
        runCatching { send().get(5, TimeUnit.SECONDS) }.getOrNull()

    private fun checkOutcomes(deployment: TestDeployment) {
        val executed = deployment.executionsByBody()
        for (outcome in orders) {
            val count = executed[outcome.order] ?: 0
            assertTrue(count <= 1) { "${outcome.order} ran $count times" }
            if (outcome.answers.any { it?.status()?.code() == 200 }) assertEquals(1, count, outcome.order)
            if (outcome.answers.all { it != null && "\"run\":\"not_run\"" in it.contentUtf8() }) {
                assertEquals(0, count) { "${outcome.order} was refused as not run" }
            }
        }
        for (stream in streams) checkStream(stream)
        assertTrue(orders.count { it.answers.any { answer -> answer?.status()?.code() == 200 } } > orders.size / 4)
        assertTrue(streams.count { it.answer?.status()?.code() == 200 } > streams.size / 4)
    }

    private fun checkStream(stream: StreamOutcome) {
        val text = stream.answer?.takeIf { it.status().code() == 200 }?.contentUtf8() ?: return
        val tokens = "\"text\":\"(w\\d+ )\"".toRegex().findAll(text).map { it.groupValues[1] }.toList()
        val expected = EngineCompletion.tokensOf(stream.prompt, 8)
        if ("[DONE]" in text) assertEquals(expected, tokens) else assertEquals(expected.take(tokens.size), tokens)
    }
}
