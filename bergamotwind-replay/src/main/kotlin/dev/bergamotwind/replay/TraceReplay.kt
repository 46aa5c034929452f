package dev.bergamotwind.replay

/** Replays traces through the production decision code on virtual time. */
public object TraceReplay {
    /** Replays [trace] with [policy]; [seed] breaks ties. The same arguments give the same result. */
    public fun run(trace: Trace, policy: ReplayPolicy, seed: Long): ReplayResult = ReplayRun(trace, policy, seed).run()
}
