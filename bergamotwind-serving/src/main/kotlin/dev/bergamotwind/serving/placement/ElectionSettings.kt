package dev.bergamotwind.serving.placement

/** Settings of a VM's candidacy as the placement holder. */
public class ElectionSettings(
    /** Identity of this VM with its address; the name alone may be reassigned to another machine. */
    public val identity: String,
    /** Milliseconds between the last order of one holder and the first of the next. */
    public val handOverMillis: Long,
    /** Milliseconds for which a lease is valid after its last renewal. */
    public val leaseMillis: Long,
    /** True when no VM has been the holder before this VM was started, though another one may be by now. */
    public val isFirstStart: Boolean,
)
