package dev.bergamotwind.serving.rate

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Guards against VMs that together exceed the fleet's retry budget in a window, for any number of VMs. */
class VmRetryBudgetSpec {
    @ParameterizedTest
    @ValueSource(ints = [1, 6, 82, 300])
    fun `all VMs together stay within the retry budget of each window`(vmCount: Int) {
        val budgets = List(vmCount) { VmRetryBudget(SHARE, FIXED, WINDOW_MILLIS) }
        val retries = mutableListOf<Long>()
        val requests = mutableListOf<Long>()
        for (now in 0L until 60_000L step STEP_MILLIS) {
            for (budget in budgets) {
                budget.recordRequest()
                requests += now
                if (budget.tryTakeRetry(now, vmCount)) retries += now
            }
        }
        for (start in 0L until 50_000L step STEP_MILLIS) {
            val window = start until start + WINDOW_MILLIS
            val permitted = requests.count { it in window } * SHARE + FIXED
            val made = retries.count { it in window }
            assertTrue(made <= permitted) { "$made retries from $start ms on, $permitted permitted" }
        }
    }

    private companion object {
        const val SHARE = 0.2
        const val FIXED = 52.0
        const val WINDOW_MILLIS = 10_000L
        const val STEP_MILLIS = 500L
    }
}
