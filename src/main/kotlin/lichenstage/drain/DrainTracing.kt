package lichenstage.drain

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.Tracer

/**
 * Tracing spans for drains: one span per drain, from its first traced action until the drain pauses or finishes, and one span per action.
 * Without a tracer, nothing is recorded. The number of open drain spans is limited to [MAX_OPEN_SPANS].
 */
class DrainTracing(
    private val tracer: Tracer? = null,
) {
    private val openSpans = LinkedHashMap<String, Span>()

    /** Records a span for [action]. Called just before the action is executed. */
    fun recordAction(action: DrainAction) {
        val tracer = tracer ?: return
        when (action) {
            is DrainAction.EvictTasks -> emit(tracer, "interrupt", null) { it.setAttribute("tasks", action.tasks.size.toLong()) }
            is DrainAction.ProvisionReplacement -> emit(tracer, "hire", action.key.drain) { it.setAttribute("machine", action.key.machine) }
            is DrainAction.Terminate -> emit(tracer, "give back", null) { it.setAttribute("machine", action.machine) }
            is DrainAction.Pause -> endDrainSpan(tracer, action.drain, action.reason)
            is DrainAction.Finish -> endDrainSpan(tracer, action.drain, "finished")
        }
    }

    private fun emit(
        tracer: Tracer,
        name: String,
        drain: String?,
        setAttributes: (Span) -> Unit,
    ) {
        val builder = tracer.spanBuilder(name)
        val span = builder.startSpan()
        drain?.let {
            span.setAttribute("drain", it)
            openDrainSpan(tracer, it).addEvent(name)
        }
        setAttributes(span)
        span.end()
    }

    private fun openDrainSpan(
        tracer: Tracer,
        drain: String,
    ): Span {
        if (openSpans.size >= MAX_OPEN_SPANS && drain !in openSpans) openSpans.remove(openSpans.keys.first())?.end()
        return openSpans.getOrPut(drain) { tracer.spanBuilder("drain").startSpan().also { it.setAttribute("drain", drain) } }
    }

    private fun endDrainSpan(
        tracer: Tracer,
        drain: String,
        outcome: String,
    ) {
        openDrainSpan(tracer, drain).setAttribute("end", outcome).end()
        openSpans.remove(drain)
    }

    private companion object {
        const val MAX_OPEN_SPANS = 32
    }
}
