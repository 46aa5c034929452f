package dev.bergamotwind.serving.crash

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.serving.ManualLoop
import dev.bergamotwind.serving.Samples
import dev.bergamotwind.serving.call.PromptPartId
import dev.bergamotwind.serving.crash.EngineCrashDetectorSpec.Step.ANSWER_TO_EARLIER_ATTEMPT
import dev.bergamotwind.serving.crash.EngineCrashDetectorSpec.Step.ANSWER_TO_LATER_ATTEMPT
import dev.bergamotwind.serving.crash.EngineCrashDetectorSpec.Step.BREAK_ANSWERED
import dev.bergamotwind.serving.crash.EngineCrashDetectorSpec.Step.BREAK_UNANSWERED
import dev.bergamotwind.serving.crash.EngineCrashDetectorSpec.Step.END
import dev.bergamotwind.serving.crash.EngineCrashDetectorSpec.Step.WAIT
import dev.bergamotwind.serving.targets.TargetLifecycle
import dev.bergamotwind.serving.targets.TargetState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Tests that broken connections count as a crash only when the engine has ended, and whom it is put down to. */
class EngineCrashDetectorSpec {
    enum class Step {
        BREAK_UNANSWERED,
        BREAK_ANSWERED,
        ANSWER_TO_EARLIER_ATTEMPT,
        ANSWER_TO_LATER_ATTEMPT,
        WAIT,
        END,
    }

    data class CrashCase(
        val name: String,
        val steps: List<Step>,
        val suspects: List<Set<Long>>,
        val lifecycle: TargetLifecycle = TargetLifecycle.READY,
    ) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("crashes")
    fun `names the parts that may have crashed an engine when`(case: CrashCase) {
        val loop = ManualLoop()
        val crashes = mutableListOf<EngineCrash>()
        val detector = EngineCrashDetector(loop, EventRecorder.None, CONFIRMATION_MILLIS, { _, _ -> }) { crashes += it }
        val target = TargetState(Samples.record("e1", Samples.engines, lifecycle = case.lifecycle, started = 7), 0)
        for (step in case.steps) {
            val now = loop.nowMillis()
            when (step) {
                BREAK_UNANSWERED -> detector.onBroken(target, BrokenAttempt(now, listOf(UNANSWERED_PART), true))
                BREAK_ANSWERED -> detector.onBroken(target, BrokenAttempt(now, listOf(ANSWERED_PART), false))
                ANSWER_TO_EARLIER_ATTEMPT -> detector.onAnswer(target, now - 1)
                ANSWER_TO_LATER_ATTEMPT -> detector.onAnswer(target, now + 1)
                WAIT -> loop.advance(CONFIRMATION_MILLIS)
                END -> detector.onEnded(target)
            }
        }
        assertEquals(case.suspects, crashes.map { crash -> crash.suspectParts.map { it.value }.toSet() })
    }

    private companion object {
        const val CONFIRMATION_MILLIS = 8_000L
        val UNANSWERED_PART = PromptPartId(1)
        val ANSWERED_PART = PromptPartId(2)

        @JvmStatic
        fun crashes() = listOf(
            CrashCase("attempts break and the engine has ended", listOf(BREAK_UNANSWERED, END), listOf(setOf(1L))),
            CrashCase(
                "a request that had been answered for long is among them",
                listOf(BREAK_ANSWERED, BREAK_UNANSWERED, END),
                listOf(setOf(1L)),
            ),
            CrashCase(
                "one connection broke, and the engine goes on answering",
                listOf(BREAK_UNANSWERED, ANSWER_TO_LATER_ATTEMPT, END),
                emptyList(),
            ),
            CrashCase(
                "an answer comes to a request sent before the break",
                listOf(BREAK_UNANSWERED, ANSWER_TO_EARLIER_ATTEMPT, END),
                listOf(setOf(1L)),
            ),
            CrashCase("it announced its end", listOf(BREAK_UNANSWERED, END), emptyList(), TargetLifecycle.DRAINING),
            CrashCase("it ends long after the break", listOf(BREAK_UNANSWERED, WAIT, END), emptyList()),
            CrashCase("its end is observed twice", listOf(BREAK_UNANSWERED, END, END), listOf(setOf(1L))),
            CrashCase("nothing broke", listOf(END), emptyList()),
        )
    }
}
