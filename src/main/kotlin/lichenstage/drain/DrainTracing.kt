package lichenstage.drain

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.Tracer

/**
 * Spans for what drains do: one for each drain from its first act until it is paused or finished, and one for each act within it. Where no
 * tracer is given nothing is kept; the spans of drains that are open are bounded.
 */
class DrainTracing(
    private val tracer: Tracer? = null,
) {
    private val open = LinkedHashMap<String, Span>()

    /** An act is about to be carried out. */
    fun act(act: DrainAction) {
        val known = tracer ?: return
        when (act) {
            is DrainAction.EvictTasks -> note(known, "interrupt", null) { it.setAttribute("tasks", act.tasks.size.toLong()) }
            is DrainAction.ProvisionReplacement -> note(known, "hire", act.key.drain) { it.setAttribute("machine", act.key.machine) }
            is DrainAction.Terminate -> note(known, "give back", null) { it.setAttribute("machine", act.machine) }
            is DrainAction.Pause -> end(known, act.drain, act.reason)
            is DrainAction.Finish -> end(known, act.drain, "finished")
        }
    }

    private fun note(
        tracer: Tracer,
        name: String,
        drain: String?,
        describe: (Span) -> Unit,
    ) {
        val builder = tracer.spanBuilder(name)
        val span = builder.startSpan()
        drain?.let {
            span.setAttribute("drain", it)
            spanOf(tracer, it).addEvent(name)
        }
        describe(span)
        span.end()
    }

    private fun spanOf(
        tracer: Tracer,
        drain: String,
    ): Span {
        if (open.size >= MAX_OPEN_SPANS && drain !in open) open.remove(open.keys.first())?.end()
        return open.getOrPut(drain) { tracer.spanBuilder("drain").startSpan().also { it.setAttribute("drain", drain) } }
    }

    private fun end(
        tracer: Tracer,
        drain: String,
        how: String,
    ) {
        spanOf(tracer, drain).setAttribute("end", how).end()
        open.remove(drain)
    }

    private companion object {
        const val MAX_OPEN_SPANS = 32
    }
}
