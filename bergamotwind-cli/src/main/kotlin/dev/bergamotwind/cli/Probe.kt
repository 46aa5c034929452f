package dev.bergamotwind.cli

/** Placeholder. */
public object Probe
