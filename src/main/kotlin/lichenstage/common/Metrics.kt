package lichenstage.common

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import java.util.EnumMap
import java.util.concurrent.TimeUnit

/** Who sends a request. */
enum class Caller { WORKER, HEALTH, USER }

/** What the process measures of itself; shown as plain lines, one a value, at `GET /metrics`. */
class Metrics {
    private val registry = SimpleMeterRegistry()
    private val requests = EnumMap<Caller, Int2ObjectOpenHashMap<Timer>>(Caller::class.java)

    /** Registers a value that is read when the metrics are asked for. */
    fun gauge(
        name: String,
        value: () -> Number,
    ) {
        Gauge.builder("lichenstage.$name", value).register(registry)
    }

    /** A counter under a name, new or as it was registered before. */
    fun counter(name: String): Counter = registry.counter("lichenstage.$name")

    /** A request of [caller] took [micros] until its answer with [status] was written. */
    fun served(
        caller: Caller,
        status: Int,
        micros: Long,
    ) {
        val byStatus = requests.getOrPut(caller) { Int2ObjectOpenHashMap() }
        val timer = byStatus.get(status) ?: timer(caller, status).also { byStatus.put(status, it) }
        timer.record(micros, TimeUnit.MICROSECONDS)
    }

    private fun timer(
        caller: Caller,
        status: Int,
    ) = registry.timer("lichenstage.served", "kind", caller.name.lowercase(), "status", status.toString())

    /** All metrics, one value a line. */
    fun text(): String =
        registry.meters.sortedBy { it.id.name }.joinToString("\n", postfix = "\n") { meter ->
            val tags = meter.id.tags.joinToString("") { " ${it.key}=${it.value}" }
            val values = meter.measure().joinToString(" ") { "${it.statistic.tagValueRepresentation}=${it.value}" }
            "${meter.id.name}$tags $values"
        }
}
