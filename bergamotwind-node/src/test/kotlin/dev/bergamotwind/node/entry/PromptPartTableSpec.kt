package dev.bergamotwind.node.entry

import dev.bergamotwind.serving.call.PromptPartId
import dev.bergamotwind.serving.crash.PromptPartStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests the page on which operators see suspected prompt parts. */
class PromptPartTableSpec {
    // Guards against a page whose ids cannot be searched for in the log and in callers' requests.
    @Test
    fun `lists each part with its id in hexadecimal and its state`() {
        val parts = listOf(
            PromptPartStatus(PromptPartId(0x57dc), true, 4, 1_200, 14_800, 9),
            PromptPartStatus(PromptPartId(-1), false, 1, 50, 0, 0),
        )
        val lines = PromptPartTable.render(parts).trim().lines()
        assertEquals(listOf("57dc refused 4 1200 14800 9", "ffffffffffffffff suspected 1 50 0 0"), lines.drop(1))
    }
}
