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

/** Guards against interleavings that give a result that no order of the calls explains. */
class ConcurrentStructuresSpec {
    class RetryCase {
        private val budget = RetryBudget(callsPerRetry = 2, savedRetries = 2)

        @Operation
        fun called() = budget.called()

        @Operation
        fun tryRetry() = budget.tryRetry(idempotent = true)
    }

    @Param(name = "number", gen = IntGen::class, conf = "1:3")
    class AttemptCase {
        private val registry = AttemptRegistry()
        private val request = RequestId("request")

        @Operation
        fun open() = registry.open(request).number

        @Operation
        fun accept(@Param(name = "number") number: Int) = registry.accept(AttemptId(request, number))

        @Operation
        fun broken(@Param(name = "number") number: Int) = registry.broken(AttemptId(request, number))

        @Operation
        fun ended() = registry.ended(request)
    }

    /** Each thread has one subscription, and the first of a run publishes to it. */
    class SharingCase {
        private val runs = SharedRuns<Int>(sizeOf = { 1 }, limitBytes = 2)
        private val held = arrayOfNulls<SharedSubscription<Int>>(8)

        @Operation
        fun join(@Param(gen = ThreadIdGen::class) thread: Int): Boolean? {
            if (held[thread] != null) return null
            return runs.join(SharedRunKey(TeamId("t"), "d")) { }.also { held[thread] = it }.isFirst
        }

        @Operation
        fun publish(@Param(gen = ThreadIdGen::class) thread: Int, value: Int) = held[thread]?.run?.publish(value)

        @Operation
        fun finish(@Param(gen = ThreadIdGen::class) thread: Int) = held[thread]?.run?.let { it.finish().run { true } }

        @Operation
        fun poll(@Param(gen = ThreadIdGen::class) thread: Int) = held[thread]?.poll()?.toString()

        @Operation
        fun leave(@Param(gen = ThreadIdGen::class) thread: Int): Boolean? =
            held[thread]?.let { it.close().run { held[thread] = null }.run { true } }
    }

    @ParameterizedTest
    @ValueSource(classes = [RetryCase::class, AttemptCase::class, SharingCase::class])
    fun `is linearizable`(type: Class<*>) = check(type.kotlin)

    private fun check(type: KClass<*>) =
        StressOptions().iterations(30).invocationsPerIteration(500).threads(3).actorsPerThread(3).check(type)
}
