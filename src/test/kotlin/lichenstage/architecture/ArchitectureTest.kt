package lichenstage.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import com.tngtech.archunit.library.Architectures.layeredArchitecture
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import net.jqwik.api.Example

/**
 * Guards the layers described in docs/architecture.md: a package depends only on packages of the same or lower layers, and classes that
 * make decisions depend on no framework. A use of a higher layer, or of Vert.x or coroutines in a `Core` class, fails these tests.
 */
class ArchitectureTest {
    @Example
    fun packagesHaveNoCyclicDependencies() =
        slices()
            .matching("lichenstage.(*)..")
            .should()
            .beFreeOfCycles()
            .check(classes)

    @Example
    fun eachLayerDependsOnLowerLayersOnly() {
        var rule = layeredArchitecture().consideringOnlyDependenciesInLayers()
        for ((layer, packages) in LAYERS) rule = rule.layer(layer).definedBy(*packages.map { "lichenstage.$it.." }.toTypedArray())
        val layers = LAYERS.keys.toList()
        for ((index, layer) in layers.withIndex()) {
            val above = layers.drop(index + 1)
            val access = rule.whereLayer(layer)
            rule = if (above.isEmpty()) access.mayNotBeAccessedByAnyLayer() else access.mayOnlyBeAccessedByLayers(*above.toTypedArray())
        }
        rule.check(classes)
    }

    @Example
    fun coreClassesDependOnNeitherVertxNorCoroutines() =
        noClasses()
            .that()
            .haveSimpleNameEndingWith("Core")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.vertx..", "kotlinx.coroutines..")
            .check(classes)

    private companion object {
        val classes: JavaClasses =
            ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages("lichenstage")

        /** The packages of each layer, from the lowest layer to the highest. */
        val LAYERS =
            linkedMapOf(
                "foundation" to listOf("common", "model", "config"),
                "outside systems" to listOf("state", "cloud"),
                "communication between controllers" to listOf("cluster", "authority"),
                "jobs" to listOf("jobs"),
                "machines" to listOf("partition", "fleet"),
                "drains" to listOf("drain"),
                "placement" to listOf("placement"),
                "wiring" to listOf("app"),
            )
    }
}
