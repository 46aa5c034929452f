package dev.bergamotwind.membership

import java.io.IOException

/** The peer broke the protocol or failed to authenticate; the link is closed. [reason] is a short stable name. */
internal class LinkException(val reason: String, message: String, cause: Throwable? = null) :
    IOException(message, cause)
