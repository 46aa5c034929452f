package dev.bergamotwind.membership

import java.io.IOException

/** The peer violated the protocol or failed to authenticate; the link is closed. [reason] is a stable short name. */
internal class LinkException(val reason: String, message: String, cause: Throwable? = null) :
    IOException(message, cause)
