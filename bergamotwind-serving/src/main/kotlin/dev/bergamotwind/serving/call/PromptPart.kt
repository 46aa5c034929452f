package dev.bergamotwind.serving.call

/** A part of a prompt; requests with equal leading parts share what an engine has cached of them. */
public data class PromptPart(val id: Long, val tokens: Int)
