package dev.bergamotwind.core

/** Placeholder. */
public object Probe
