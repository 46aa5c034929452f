package dev.bergamotwind.admission

import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.math.max

val SEED: Long = System.getProperty("seed", "20261204").toLong()
val STEPS: Int = System.getProperty("steps", "400").toInt()

/** Records tokens at the time of their admission and checks that every time window is within burst + rate * time. */
class RateWindowCheck {
    private val times = ArrayList<Long>()
    private val tokens = ArrayList<Int>()

    fun recordAdmission(nowNanos: Long, estimate: Int): Int {
        times += nowNanos
        tokens += estimate
        return times.size - 1
    }

    fun settle(index: Int, actual: Int) {
        tokens[index] = actual
    }

    /** The worst window ends at an admission, so one pass with the largest backlog over all window starts suffices. */
    fun check(burst: Double, ratePerSecond: Double) {
        var backlog = 0.0
        var previous = times.firstOrNull() ?: return
        times.indices.sortedBy { times[it] }.forEach { index ->
            backlog = max(0.0, backlog - ratePerSecond * (times[index] - previous) / 1e9) + tokens[index]
            previous = times[index]
            assertTrue(backlog <= burst + 1e-3) {
                "seed $SEED: a window ending at $previous ns exceeds by ${backlog - burst}"
            }
        }
    }
}
