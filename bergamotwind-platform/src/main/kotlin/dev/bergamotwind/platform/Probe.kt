package dev.bergamotwind.platform

/** Placeholder. */
public object Probe
