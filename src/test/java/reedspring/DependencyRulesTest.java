package reedspring;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;

/** Rules on dependencies: decisions and state depend neither on I/O nor on the packages that perform it. */
class DependencyRulesTest {
    private static final String[] CORE_PACKAGES = {"reedspring.api..", "reedspring.core..",
            "reedspring.spool",
        "reedspring.spread"};
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("reedspring");

    @Example
    void coreDoesNotDependOnIo() {
        noClasses().that().resideInAnyPackage(CORE_PACKAGES).or()
                .haveFullyQualifiedName("reedspring.Control").should().dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.net..", "java.nio.file..", "java.nio.channels..",
                        "java.util.concurrent..", "java.time..", "io.netty..",
                        "org.tinylog..", "com.fasterxml..", "picocli..", "org.apache.commons..",
                        "reedspring.net..", "reedspring.settings..", "reedspring.cli..", "reedspring.boot..",
                        "reedspring.spool.store..")
                .check(classes);
    }

    @Example
    void adaptersDoNotDependOnOneAnother() {
        noClasses().that().resideInAPackage("reedspring.spool.store").should().dependOnClassesThat()
                .resideInAnyPackage("reedspring.net..", "reedspring.cli..", "reedspring.settings..",
                        "reedspring.adapter..", "io.netty..").check(classes);
        noClasses().that().resideInAPackage("reedspring.adapter").should().dependOnClassesThat()
                .resideInAnyPackage("reedspring.net..", "reedspring.cli..", "reedspring.settings..",
                        "reedspring.spool..").check(classes);
    }
}
