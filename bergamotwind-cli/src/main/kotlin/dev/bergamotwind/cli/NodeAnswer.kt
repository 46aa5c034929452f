package dev.bergamotwind.cli

import arrow.core.Either
import java.net.URI

/** What [node] answered. */
internal data class NodeAnswer<T>(val node: URI, val result: Either<AdministrationError, T>)
