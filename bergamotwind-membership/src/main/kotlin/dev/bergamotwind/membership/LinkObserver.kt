package dev.bergamotwind.membership

/** Receives what happens on links, on threads of the links. */
internal interface LinkObserver {
    fun opened(link: Link)

    fun received(link: Link, received: Link.Received)

    fun closed(link: Link, reason: String)

    /** A connection with [address] has failed before it was authenticated. */
    fun failed(address: String, reason: String, message: String)
}
