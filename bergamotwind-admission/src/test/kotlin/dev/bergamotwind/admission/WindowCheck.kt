package dev.bergamotwind.admission

import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.math.max

val SEED: Long = System.getProperty("seed", "20261204").toLong()
val STEPS: Int = System.getProperty("steps", "400").toInt()

/** Records tokens at the time of their admission and checks every window against burst + rate * time. */
class WindowCheck {
    private val times = ArrayList<Long>()
    private val tokens = ArrayList<Int>()

    fun add(nowNanos: Long, estimate: Int): Int {
        times += nowNanos
        tokens += estimate
        return times.size - 1
    }

    fun settle(index: Int, actual: Int) {
        tokens[index] = actual
    }

    /** The worst window ends at an admission, so one pass with the largest backlog over all starts is enough. */
    fun check(burst: Double, ratePerSecond: Double) {
        var excess = 0.0
        var previous = times.firstOrNull() ?: return
        times.indices.sortedBy { times[it] }.forEach { index ->
            excess = max(0.0, excess - ratePerSecond * (times[index] - previous) / 1e9) + tokens[index]
            previous = times[index]
            assertTrue(excess <= burst + 1e-3) {
                "seed $SEED: a window ending at $previous ns exceeds by ${excess - burst}"
            }
        }
    }
}
