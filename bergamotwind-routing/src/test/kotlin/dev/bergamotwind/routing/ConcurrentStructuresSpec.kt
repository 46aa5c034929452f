package dev.bergamotwind.routing

import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.TeamId
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions
import org.jetbrains.lincheck.datastructures.ThreadIdGen
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.reflect.KClass

/** Checks linearizability: every concurrent result must be explained by some sequential order of the calls. */
class ConcurrentStructuresSpec {
    class RetryBudgetCase {
        private val budget = RetryBudget(callsPerRetry = 2, maxSavedRetries = 2)

        @Operation
        fun recordCall() = budget.recordCall()

        @Operation
        fun tryAcquireRetry() = budget.tryAcquireRetry(idempotent = true)
    }

    @Param(name = "number", gen = IntGen::class, conf = "1:3")
    class AttemptRegistryCase {
        private val registry = AttemptRegistry()
        private val request = RequestId("request")

        @Operation
        fun openAttempt() = registry.openAttempt(request).number

        @Operation
        fun acceptAnswer(@Param(name = "number") number: Int) = registry.acceptAnswer(AttemptId(request, number))

        @Operation
        fun markFailed(@Param(name = "number") number: Int) = registry.markFailed(AttemptId(request, number))

        @Operation
        fun removeRequest() = registry.removeRequest(request)
    }

    /** Each thread holds at most one subscription and may publish to its run. */
    class SharedRunsCase {
        private val runs = SharedRuns<Int>(sizeOf = { 1 }, limitBytes = 2)
        private val subscriptions = arrayOfNulls<SharedRunSubscription<Int>>(8)

        @Operation
        fun join(@Param(gen = ThreadIdGen::class) thread: Int): Boolean? {
            if (subscriptions[thread] != null) return null
            return runs.join(SharedRunKey(TeamId("t"), "d")) { }.also { subscriptions[thread] = it }.startedRun
        }

        @Operation
        fun publish(@Param(gen = ThreadIdGen::class) thread: Int, value: Int) =
            subscriptions[thread]?.run?.publish(value)

        @Operation
        fun finish(@Param(gen = ThreadIdGen::class) thread: Int) =
            subscriptions[thread]?.run?.let { it.finish().run { true } }

        @Operation
        fun poll(@Param(gen = ThreadIdGen::class) thread: Int) = subscriptions[thread]?.poll()?.toString()

        @Operation
        fun leave(@Param(gen = ThreadIdGen::class) thread: Int): Boolean? =
            subscriptions[thread]?.let { it.close().run { subscriptions[thread] = null }.run { true } }
    }

    @ParameterizedTest
    @ValueSource(classes = [RetryBudgetCase::class, AttemptRegistryCase::class, SharedRunsCase::class])
    fun `is linearizable`(type: Class<*>) = check(type.kotlin)

    private fun check(type: KClass<*>) =
        StressOptions().iterations(30).invocationsPerIteration(500).threads(3).actorsPerThread(3).check(type)
}
