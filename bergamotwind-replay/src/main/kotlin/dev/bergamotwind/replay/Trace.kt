package dev.bergamotwind.replay

/** A recorded or generated trace of [deployment], in order of time. */
public data class Trace(val deployment: Deployment, val records: List<TraceRecord>)
