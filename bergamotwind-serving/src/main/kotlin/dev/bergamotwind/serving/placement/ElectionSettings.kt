package dev.bergamotwind.serving.placement

/** What a VM must know to become the holder of orders. */
public class ElectionSettings(
    /** This VM and its address; the name alone may pass to another machine. */
    public val own: String,
    /** Milliseconds between the last order of one holder and the first of the next. */
    public val handOverMillis: Long,
    /** True when no VM can have been holder before. */
    public val isFirstStart: Boolean,
)
