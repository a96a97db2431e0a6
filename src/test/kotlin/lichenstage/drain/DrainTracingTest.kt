package lichenstage.drain

import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests of the tracing spans for drains and their actions. */
class DrainTracingTest {
    private val exporter = InMemorySpanExporter.create()
    private val tracer =
        SdkTracerProvider
            .builder()
            .addSpanProcessor(SimpleSpanProcessor.create(exporter))
            .build()
            .get("drains")

    @Example
    fun `a drain has one span, which ends when the drain finishes, and each action has its own span`() {
        val tracing = DrainTracing(tracer)
        tracing.recordAction(DrainAction.ProvisionReplacement(DrainKey("d", "m1")))
        tracing.recordAction(DrainAction.EvictTasks(listOf(FakeCluster.task(1))))
        tracing.recordAction(DrainAction.Terminate("m1"))
        assertEquals(
            listOf("hire", "interrupt", "give back"),
            exporter.finishedSpanItems.map { it.name },
        ) { "${exporter.finishedSpanItems}" }
        tracing.recordAction(DrainAction.Finish("d"))
        val drain = exporter.finishedSpanItems.last()
        assertTrue(drain.name == "drain" && drain.events.map { it.name } == listOf("hire")) { "$drain" }
    }

    @Example
    fun `the number of open drain spans is limited, and without a tracer nothing is recorded`() {
        val tracing = DrainTracing(tracer)
        repeat(100) { tracing.recordAction(DrainAction.ProvisionReplacement(DrainKey("d$it", "m"))) }
        assertTrue(exporter.finishedSpanItems.count { it.name == "drain" } >= 68) { "too many spans are open" }
        DrainTracing().recordAction(DrainAction.Finish("x"))
        assertTrue(
            exporter.finishedSpanItems.none { it.name == "drain" && it.attributes.toString().contains("drain=\"x\"") },
        ) { "recorded without a tracer" }
    }
}
