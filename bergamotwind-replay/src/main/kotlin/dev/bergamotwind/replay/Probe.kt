package dev.bergamotwind.replay

/** Placeholder. */
public object Probe
