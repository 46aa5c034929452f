package dev.bergamotwind.node.entry

import dev.bergamotwind.serving.crash.PromptPartStatus

/** The page on which operators see the prompt parts that may crash engines, one a line. */
internal object PromptPartTable {
    /** Path of the page at the metrics address. */
    const val PATH = "/prompt-parts"
    private const val HEADER = "part state crashes last_crash_millis_ago millis_until_trial refused_requests"

    /** Returns the page for [parts]. */
    fun render(parts: List<PromptPartStatus>): String = parts.joinToString("\n", "$HEADER\n", "\n") { status ->
        val state = if (status.isRefused) "refused" else "suspected"
        "${status.part} $state ${status.crashes} ${status.lastCrashMillisAgo} ${status.millisUntilTrial} " +
            "${status.refusedRequests}"
    }
}
