package dev.bergamotwind.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against answers that take all memory together although each of them is within its own limit. */
class AnswerMemorySpec {
    data class GiveUpCase(val name: String, val sizes: List<Long>, val givenUp: List<Int>) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("giveUpCases")
    fun `gives up the answers that keep most until the others fit`(case: GiveUpCase) {
        val memory = AnswerMemory(limitBytes = 100)
        val givenUp = mutableListOf<Int>()
        val shares = case.sizes.indices.map { number -> memory.share { givenUp += number } }
        shares.zip(case.sizes).forEach { (share, bytes) -> share.resize(bytes) }
        assertEquals(case.givenUp, givenUp)
        assertEquals(case.sizes.filterIndexed { number, _ -> number !in case.givenUp }.sum(), memory.usedBytes)
        shares.forEach { it.release() }
        assertEquals(0, memory.usedBytes)
    }

    // Guards against memory that is counted for an answer that has been dropped already.
    @Test
    fun `an answer that was given up keeps nothing any more`() {
        val memory = AnswerMemory(limitBytes = 100)
        val share = memory.share {}
        share.resize(101)
        share.resize(50)
        assertEquals(0, memory.usedBytes)
    }

    // Guards against a loop, or a wrong sum, when the end of one answer changes the size of another.
    @Test
    fun `giving up an answer may resize others`() {
        val memory = AnswerMemory(limitBytes = 100)
        val refusal = memory.share {}
        val shares = List(3) { memory.share { refusal.resize(10) } }
        shares.forEach { it.resize(45) }
        assertEquals(100, memory.usedBytes)
    }

    private companion object {
        @JvmStatic
        fun giveUpCases() = listOf(
            GiveUpCase("all fit", listOf(50, 50), emptyList()),
            GiveUpCase("one is too large alone", listOf(101), listOf(0)),
            GiveUpCase("an earlier one keeps most", listOf(60, 20, 30), listOf(0)),
            GiveUpCase("the one that grows keeps most", listOf(20, 30, 60), listOf(2)),
            GiveUpCase("several have to go", listOf(40, 45, 95), listOf(2)),
            GiveUpCase("a small one never goes", listOf(1, 60, 60, 60), listOf(1, 2)),
        )
    }
}
