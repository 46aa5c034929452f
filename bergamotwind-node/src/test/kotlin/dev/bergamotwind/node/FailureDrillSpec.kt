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
 * Guards against second runs, false "not run" and cut answers while node processes are killed and frozen and the
 * platform fails and loses answers after they took effect.
 */
class FailureDrillSpec {
    private class Outcome(val order: String, val answers: List<AggregatedHttpResponse?>)

    private class Streamed(val prompt: String, val answer: AggregatedHttpResponse?)

    private val orders = ConcurrentLinkedQueue<Outcome>()
    private val streams = ConcurrentLinkedQueue<Streamed>()

    @Volatile
    private var running = true

    @Test
    fun `keeps its promises under kills, freezes and platform faults`() {
        val random = Random(System.getProperty("seed", "1").toLong())
        Deployment(tokenDelayMillis = 2, count = 3, processes = true).use { deployment ->
            val callers = List(4) { caller -> thread { call(deployment, caller, Random(random.nextLong())) } }
            fail(deployment)
            running = false
            callers.forEach(Thread::join)
            deployment.platform.faults = deployment.platform.faults.copy(loseAnswers = 0.0, unavailable = false)
            check(deployment)
        }
    }

    private fun fail(deployment: Deployment) {
        val (killed, frozen) = deployment.nodes.filterIsInstance<NodeProcess>()
        Thread.sleep(1_000)
        deployment.platform.faults = deployment.platform.faults.copy(loseAnswers = 0.3)
        Thread.sleep(2_000)
        killed.kill()
        frozen.signal("STOP")
        // Longer than the lease of surplus units and of placement.
        Thread.sleep(7_000)
        frozen.signal("CONT")
        deployment.platform.faults = deployment.platform.faults.copy(unavailable = true)
        Thread.sleep(3_000)
        deployment.platform.faults = deployment.platform.faults.copy(unavailable = false, loseAnswers = 0.1)
        Thread.sleep(3_000)
    }

    private fun call(deployment: Deployment, caller: Int, random: Random) {
        var number = 0
        while (running) {
            val name = "$caller-${number++}"
            val repeats = List(2) { deployment.nodes.random(random) }
            orders +=
                Outcome("kit $name", repeats.map { node -> attempt { deployment.order(node, "kit $name", name) } })
            val answer = attempt { deployment.ask(deployment.nodes.random(random), "ask $name", stream = true) }
            streams += Streamed("ask $name", answer)
        }
    }

    private fun attempt(send: () -> java.util.concurrent.CompletableFuture<AggregatedHttpResponse>) =
        runCatching { send().get(5, TimeUnit.SECONDS) }.getOrNull()

    private fun check(deployment: Deployment) {
        val executed = deployment.allExecutions()
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

    private fun checkStream(stream: Streamed) {
        val text = stream.answer?.takeIf { it.status().code() == 200 }?.contentUtf8() ?: return
        val tokens = "\"text\":\"(w\\d+ )\"".toRegex().findAll(text).map { it.groupValues[1] }.toList()
        val expected = EngineCompletion.tokensOf(stream.prompt, 8)
        if ("[DONE]" in text) assertEquals(expected, tokens) else assertEquals(expected.take(tokens.size), tokens)
    }
}
