package dev.bergamotwind.api

/** Placeholder. */
public object Probe
