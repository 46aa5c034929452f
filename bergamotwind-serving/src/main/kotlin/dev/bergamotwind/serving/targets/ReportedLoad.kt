package dev.bergamotwind.serving.targets

/** Load that a target reports with a response, over all its callers. */
public data class ReportedLoad(val running: Int, val queued: Int, val slots: Int)
