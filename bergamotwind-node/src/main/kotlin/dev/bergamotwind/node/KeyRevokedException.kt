package dev.bergamotwind.node

import kotlinx.coroutines.CancellationException

/** Cancels a request whose API key was revoked. */
internal class KeyRevokedException(reason: String) : CancellationException(reason)
