package dev.bergamotwind.membership

/** Placeholder. */
public object Probe
