package dev.bergamotwind.serving.crash

/** Decides which VM sends a request with a refused prompt part to an engine. */
internal fun interface TrialClaims {
    /** Asks for the trial of the part of [report], and stores the report; replies true when this VM may try. */
    fun claim(report: PromptPartReport, reply: (Boolean) -> Unit)
}
