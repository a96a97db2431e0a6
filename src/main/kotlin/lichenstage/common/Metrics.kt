package lichenstage.common

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import java.util.EnumMap
import java.util.concurrent.TimeUnit

/** The kind of client that sent a request. */
enum class Caller { WORKER, HEALTH, USER }

/** The metrics of the process. `GET /metrics` returns them as plain text, one metric per line. */
class Metrics {
    private val registry = SimpleMeterRegistry()
    private val timersByCaller = EnumMap<Caller, Int2ObjectOpenHashMap<Timer>>(Caller::class.java)

    /** Registers a gauge. [value] is called each time the metrics are rendered. */
    fun gauge(
        name: String,
        value: () -> Number,
    ) {
        Gauge.builder("lichenstage.$name", value).register(registry)
    }

    /** Returns the counter with the given name. The first call registers it. */
    fun counter(name: String): Counter = registry.counter("lichenstage.$name")

    /** Records the response to a request of [caller]: its [status], and the time from the receipt of the request, in microseconds. */
    fun recordRequest(
        caller: Caller,
        status: Int,
        durationUs: Long,
    ) {
        val timersByStatus = timersByCaller.getOrPut(caller) { Int2ObjectOpenHashMap() }
        val timer = timersByStatus.get(status) ?: timer(caller, status).also { timersByStatus.put(status, it) }
        timer.record(durationUs, TimeUnit.MICROSECONDS)
    }

    private fun timer(
        caller: Caller,
        status: Int,
    ) = registry.timer("lichenstage.served", "kind", caller.name.lowercase(), "status", status.toString())

    /** Returns all metrics as text, sorted by name, one per line. */
    fun render(): String =
        registry.meters.sortedBy { it.id.name }.joinToString("\n", postfix = "\n") { meter ->
            val tags = meter.id.tags.joinToString("") { " ${it.key}=${it.value}" }
            val values = meter.measure().joinToString(" ") { "${it.statistic.tagValueRepresentation}=${it.value}" }
            "${meter.id.name}$tags $values"
        }
}
