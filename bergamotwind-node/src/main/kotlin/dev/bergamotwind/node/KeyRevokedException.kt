package dev.bergamotwind.node

import kotlinx.coroutines.CancellationException

/** Cancels a request whose key was revoked. */
internal class KeyRevokedException(reason: String) : CancellationException(reason)
