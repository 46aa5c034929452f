package dev.bergamotwind.serving

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test

/** Tests a fleet of VMs whose callers send requests with a prompt part that crashes each engine that answers them. */
class TaintedPromptPartSpec {
    // Guards against engines that crash one after the other, because each request with the part is sent to an engine.
    @Test
    @Tag("known-red")
    fun `few requests with a part that crashes engines reach engines once it has crashed five`() {
        val fleet = EngineFleet(vmCount = 6, engineCount = 12)
        fleet.deadlyParts += DEADLY
        repeat(300) { step ->
            val vm = step % 6
            val isDeadly = step % 7 == 0
            val parts = listOfNotNull(COMMON, DEADLY.takeIf { isDeadly }, SUBJECTS + step % 20, OWN + step)
            fleet.serve(vm, "r$step", *parts.toLongArray())
            fleet.loop.advance(100)
        }
        val fifth = fleet.crashMillis.getOrElse(4) { Long.MAX_VALUE }
        val late = fleet.arrivals.filter { DEADLY in it && it.atMillis - CONTACT_MILLIS > fifth }
        assertTrue(fleet.crashMillis.size >= 3) { "crashes: ${fleet.crashMillis}" }
        assertTrue(late.size <= 3) { "${late.size} late arrivals; crashes: ${fleet.crashMillis}" }
    }

    private companion object {
        const val COMMON = 1L
        const val DEADLY = 2L
        const val SUBJECTS = 100L
        const val OWN = 10_000L

        /** Time in which all VMs in touch know of the fifth crash. */
        const val CONTACT_MILLIS = 4_000L
    }
}
