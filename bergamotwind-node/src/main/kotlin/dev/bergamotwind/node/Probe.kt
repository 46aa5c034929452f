package dev.bergamotwind.node

/** Placeholder. */
public object Probe
