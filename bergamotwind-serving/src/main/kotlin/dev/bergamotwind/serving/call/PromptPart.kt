package dev.bergamotwind.serving.call

/** A part of a prompt. Requests with equal leading parts can reuse what an engine has cached for them. */
public data class PromptPart(val id: PromptPartId, val tokens: Int)
