package dev.bergamotwind.test

/** Placeholder. */
public object Probe
