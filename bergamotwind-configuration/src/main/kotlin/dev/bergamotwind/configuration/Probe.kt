package dev.bergamotwind.configuration

/** Placeholder. */
public object Probe
