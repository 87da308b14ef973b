package reedspring;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;

/** What may use what: decisions and state know no I/O, and nothing that stands round them. */
class DependencyRulesTest {
    private static final String[] CORE = {"reedspring.api..", "reedspring.core..", "reedspring.spool",
        "reedspring.spread"};
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("reedspring");

    @Example
    void decisionsAndStateKnowNoIo() {
        noClasses().that().resideInAnyPackage(CORE).or()
                .haveFullyQualifiedName("reedspring.Control").should().dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.net..", "java.nio.file..", "java.nio.channels..",
                        "java.util.concurrent..", "java.time..", "io.netty..",
                        "org.tinylog..", "com.fasterxml..", "picocli..", "org.apache.commons..",
                        "reedspring.net..", "reedspring.settings..", "reedspring.cli..", "reedspring.boot..",
                        "reedspring.spool.store..")
                .check(classes);
    }

    @Example
    void edgesKnowNoOtherEdgeAndNoFrame() {
        noClasses().that().resideInAPackage("reedspring.spool.store").should().dependOnClassesThat()
                .resideInAnyPackage("reedspring.net..", "reedspring.cli..", "reedspring.settings..",
                        "reedspring.adapter..", "io.netty..").check(classes);
        noClasses().that().resideInAPackage("reedspring.adapter").should().dependOnClassesThat()
                .resideInAnyPackage("reedspring.net..", "reedspring.cli..", "reedspring.settings..",
                        "reedspring.spool..").check(classes);
    }
}
