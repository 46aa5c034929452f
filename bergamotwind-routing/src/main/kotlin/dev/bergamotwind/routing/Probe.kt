package dev.bergamotwind.routing

/** Placeholder. */
public object Probe
