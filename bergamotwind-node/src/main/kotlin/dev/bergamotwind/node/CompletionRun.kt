package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.HttpStatusClass
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.routing.AttemptId
import dev.bergamotwind.routing.CallOutcome
import dev.bergamotwind.routing.ServerSentEventReader
import dev.bergamotwind.routing.SharedRun
import dev.bergamotwind.routing.StreamAction
import dev.bergamotwind.routing.StreamAssembler
import dev.bergamotwind.routing.TargetChoice
import dev.bergamotwind.routing.TargetRequirement
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.lastOrNull
import kotlinx.coroutines.flow.transformWhile

/** Executes one completion, retrying at other targets, and publishes the response to the subscribers of [run]. */
internal class CompletionRun(
    id: RequestId,
    private val path: String,
    private val prepared: PreparedCompletion,
    private val run: SharedRun<String>,
    private val dependencies: HandlerDependencies,
) {
    private val request = prepared.request
    private val session = RequestSession(id, prepared.access, idempotent = true, dependencies)
    private val assembler = StreamAssembler(request.body.toString(), dependencies.monitor)
    private val spaceAvailable = Channel<Unit>(Channel.CONFLATED)
    private var attempts = 0
    private var reportedTokens: Long? = null

    /** Executes the request; every path ends [run]. */
    // Catches every exception, so that an internal error never leaves the subscribers of the run waiting.
    @Suppress("TooGenericExceptionCaught")
    suspend fun execute() {
        run.onSpaceAvailable { spaceAvailable.trySend(Unit) }
        try {
            session.event("received") { field("model", request.name) }
            dependencies.recordDemand(DemandObservation(request.model, request.adapter, request.estimatedTokens))
            session.admit(request.estimatedTokens).fold({ run.fail(session.recordFailure(it)) }, { admitted ->
                try {
                    complete().fold({ run.fail(session.recordFailure(it)) }, { recordSuccess() })
                } finally {
                    admitted.settle(usedTokens())
                }
            })
        } catch (cancelled: CancellationException) {
            session.event("cancelled")
            throw cancelled
        } catch (failure: Exception) {
            run.fail(session.recordFailure(Failure.TargetFailed("internal error: $failure", session.tracker.outcome)))
        }
    }

    private fun recordSuccess() {
        session.tracker.markAnswered()
        run.finish()
        session.event("answered") {
            field("tokens", usedTokens())
            field("attempts", attempts)
            field("milliseconds", session.elapsed.inWholeMilliseconds)
        }
    }

    private fun usedTokens(): Long = when {
        session.tracker.outcome == RunOutcome.NOT_RUN -> 0
        reportedTokens != null -> reportedTokens!!
        request.stream -> request.promptTokens + assembler.deliveredTokens
        else -> request.estimatedTokens.value
    }

    private suspend fun complete(): Either<Failure, Unit> {
        val requirement = TargetRequirement.Engine(request.model, request.adapter)
        var lastFailure: Failure? = null
        return session.tryTargets(requirement, request.prefixHash) { choice ->
            val body = if (attempts == 0) request.body.toString() else assembler.resumeBody()
            if (body == null) lastFailure!!.left() else attempt(choice, body).onLeft { lastFailure = it }
        }
    }

    private suspend fun attempt(choice: TargetChoice, body: String): Either<Failure, Unit> {
        session.beginAttempt(choice).onLeft { return it.left() }
        attempts++
        var outcome = CallOutcome.CANCELLED
        try {
            val result = send(choice, body).flatMap { response ->
                if (request.stream) publishStream(choice, response) else publishComplete(choice, response)
            }
            outcome = outcomeOf(result)
            if (result.leftOrNull()?.run == RunOutcome.NOT_RUN) session.tracker.markNotExecuted()
            return result
        } finally {
            session.endAttempt(choice.target.id, outcome)
        }
    }

    private suspend fun send(choice: TargetChoice, body: String): Either<Failure, TargetResponse> {
        val headers = ForwardedHeaders.toTarget(prepared.headers, path, session.id, prepared.credential)
        val content = HttpData.ofUtf8(body)
        return dependencies.targetClient.send(choice.target.address, headers, content, session.remainingMillis)
            .flatMap { checkStatus(choice, it) }
    }

    private fun checkStatus(choice: TargetChoice, response: TargetResponse): Either<Failure, TargetResponse> {
        val status = response.headers.status()
        val target = choice.target.id
        if (status.isSuccess) {
            session.recordResponseStart(target)
            return response.right()
        }
        response.abort()
        return when {
            response.isDraining -> Failure.TargetRefused(target, true, "target $target is leaving")

            // The engine has unloaded the model since its last report.
            status == HttpStatus.NOT_FOUND -> Failure.TargetRefused(target, false, "target $target lacks the model")

            status.codeClass() == HttpStatusClass.CLIENT_ERROR -> rejectedByEngine(target, status)

            else -> Failure.TargetFailed("target $target answered ${status.code()}", RunOutcome.UNKNOWN)
        }.left()
    }

    private fun rejectedByEngine(target: TargetId, status: HttpStatus): Failure {
        session.recordResponseStart(target)
        return Failure.Invalid(
            "the engine refused the request with status ${status.code()}",
            "Send a request as the OpenAI completions API describes it.",
            run = RunOutcome.RUN,
        )
    }

    private suspend fun publishComplete(choice: TargetChoice, response: TargetResponse): Either<Failure, Unit> =
        response.aggregate(choice.target.address).flatMap(NonStreamingCompletion::validate).map {
            reportedTokens = it.totalTokens
            run.publish(it.body.toStringUtf8())
        }

    private suspend fun publishStream(choice: TargetChoice, response: TargetResponse): Either<Failure, Unit> {
        val attempt = AttemptId(session.id, attempts)
        val reader = ServerSentEventReader()
        assembler.beginAttempt(attempt)
        val end = response.bodyParts(choice.target.address).transformWhile { part ->
            val result = part.flatMap { reader.read(it.array()) }.flatMap { publishEvents(attempt, it) }
            awaitSpace()
            emit(result)
            result.isRight() && !assembler.isComplete
        }.lastOrNull()
        response.abort()
        return when {
            assembler.isComplete -> Unit.right()
            end is Either.Left -> end
            else -> resultOfConnectionEnd(assembler.handleConnectionEnd(attempt))
        }
    }

    // Back-pressure: stops reading from the target while the buffer of the run is full.
    private suspend fun awaitSpace() {
        while (run.isFull && !run.isCancelled) spaceAvailable.receive()
    }

    private fun publishEvents(attempt: AttemptId, events: List<String>): Either<Failure, Unit> {
        for (data in events) {
            when (val action = assembler.acceptEvent(attempt, data)) {
                is StreamAction.Deliver -> run.publish(action.data)
                is StreamAction.Fail -> return action.failure.left()
                StreamAction.Drop, StreamAction.Finish -> Unit
            }
        }
        return Unit.right()
    }

    private fun resultOfConnectionEnd(action: StreamAction): Either<Failure, Unit> =
        if (action is StreamAction.Fail) action.failure.left() else Unit.right()

    private fun outcomeOf(result: Either<Failure, Unit>): CallOutcome = when (val failure = result.leftOrNull()) {
        null, is Failure.Invalid -> CallOutcome.ANSWERED
        is Failure.TargetRefused -> if (failure.draining) CallOutcome.DRAINING else CallOutcome.ANSWERED
        else -> CallOutcome.FAILED
    }
}
