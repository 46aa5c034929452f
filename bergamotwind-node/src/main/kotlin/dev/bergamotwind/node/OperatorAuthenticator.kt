package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.DecoratingHttpServiceFunction
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.configuration.keyDigest
import java.security.MessageDigest

/** Rejects requests without the operators' credential. */
internal class OperatorAuthenticator(private val expectedDigest: KeyDigest) : DecoratingHttpServiceFunction {
    override fun serve(delegate: HttpService, context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val credential = request.headers().getAll(HttpHeaderNames.AUTHORIZATION).singleOrNull()?.removePrefix("Bearer ")
        return if (credential != null && matchesExpected(credential)) {
            delegate.serve(context, request)
        } else {
            ErrorResponses.of(Failure.Unauthenticated("the operators' credential is missing or wrong"))
        }
    }

    // Compares in constant time, so that the response time reveals nothing about the credential.
    private fun matchesExpected(credential: String): Boolean =
        MessageDigest.isEqual(keyDigest(credential).value.toByteArray(), expectedDigest.value.toByteArray())
}
