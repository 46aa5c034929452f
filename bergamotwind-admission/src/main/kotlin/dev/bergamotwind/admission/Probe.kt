package dev.bergamotwind.admission

/** Placeholder. */
public object Probe
