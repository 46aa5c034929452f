package dev.bergamotwind.placement

/** Placeholder. */
public object Probe
