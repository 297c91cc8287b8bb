package org.beechhoist.arch;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** What each package may depend on. */
@AnalyzeClasses(packages = "org.beechhoist", importOptions = ImportOption.DoNotIncludeTests.class)
class PackagesTest {
    private static final String ROOT = "org.beechhoist.";

    private static final String CONTROLLER = ROOT + "controller";
    private static final String CONTEXT = CONTROLLER + ".context";
    private static final String LEADERSHIP = CONTROLLER + ".leadership";
    private static final String STATE = CONTROLLER + ".state";
    private static final String WORKER = CONTROLLER + ".worker";

    /** Decisions about machines and what their heartbeats prove: pure functions of small types. */
    private static final String RECOVERY_DECISIONS = "(\\[+L)?org\\.beechhoist\\.controller\\.worker\\."
            + "(AbsenceEvidence|MachinePresence|Reconciliation|RecoveryPacer|RecoveryProgress)(\\$.*)?;?";

    private static final String REACHABILITY_DECISIONS = "(\\[+L)?org\\.beechhoist\\.controller\\."
            + "(state\\.MachineReachability|worker\\.HeartbeatValidity)(\\$.*)?;?";

    @ArchTest
    static final ArchRule RECOVERY_DECISIONS_KNOW_THE_WIRE_AND_BUDGETS = classes()
            .that()
            .haveNameMatching(RECOVERY_DECISIONS)
            .should()
            .onlyDependOnClassesThat(
                    resideInAnyPackage("java..", ROOT + "wire", ROOT + "store").or(nameMatching(RECOVERY_DECISIONS)));

    @ArchTest
    static final ArchRule REACHABILITY_DECISIONS_KNOW_THE_WIRE = classes()
            .that()
            .haveNameMatching(REACHABILITY_DECISIONS)
            .should()
            .onlyDependOnClassesThat(
                    resideInAnyPackage("java..", ROOT + "wire").or(nameMatching(REACHABILITY_DECISIONS)));

    @ArchTest
    static final ArchRule CONTROLLER_LAYERS_KNOW_ONLY_THOSE_BELOW = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("context")
            .definedBy(CONTEXT)
            .layer("leadership")
            .definedBy(LEADERSHIP)
            .layer("state")
            .definedBy(STATE)
            .layer("worker")
            .definedBy(WORKER)
            .layer("controller")
            .definedBy(CONTROLLER)
            .whereLayer("controller")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("worker")
            .mayOnlyBeAccessedByLayers("controller")
            .whereLayer("state")
            .mayOnlyBeAccessedByLayers("worker", "controller")
            .whereLayer("leadership")
            .mayOnlyBeAccessedByLayers("state", "worker", "controller");

    @ArchTest
    static final ArchRule CONTROLLER_PACKAGES_HAVE_NO_CYCLES =
            slices().matching("org.beechhoist.controller.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule ONLY_THE_CONTROLLER_KNOWS_ITS_STATE = noClasses()
            .that()
            .resideOutsideOfPackage(CONTROLLER + "..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(LEADERSHIP, STATE, WORKER);

    @ArchTest
    static final ArchRule FLOOR_KNOWS_THE_WIRE = classes()
            .that()
            .resideInAPackage(ROOT + "floor")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("java..", ROOT + "floor", ROOT + "wire", "org.HdrHistogram");

    @ArchTest
    static final ArchRule TRIAGE_KNOWS_THE_FLOOR = classes()
            .that()
            .resideInAPackage(ROOT + "triage")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("java..", ROOT + "triage", ROOT + "floor", ROOT + "wire", "org.HdrHistogram");

    @ArchTest
    static final ArchRule CANCEL_KNOWS_THE_WIRE = classes()
            .that()
            .resideInAPackage(ROOT + "cancel")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("java..", ROOT + "cancel", ROOT + "wire");

    @ArchTest
    static final ArchRule KEY_SETS_KNOW_THE_WIRE = classes()
            .that()
            .resideInAPackage(ROOT + "keyset")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("java..", "com.fasterxml.jackson..", ROOT + "keyset", ROOT + "wire");

    @ArchTest
    static final ArchRule PACKING_KNOWS_THE_WIRE = classes()
            .that()
            .resideInAPackage(ROOT + "packing")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("java..", ROOT + "packing", ROOT + "wire");

    @ArchTest
    static final ArchRule DECISIONS_READ_NO_CLOCK_AND_DRAW_NOTHING = noClasses()
            .that()
            .resideInAnyPackage(
                    ROOT + "floor",
                    ROOT + "triage",
                    ROOT + "cancel",
                    ROOT + "keyset",
                    ROOT + "release",
                    ROOT + "packing",
                    ROOT + "plan",
                    ROOT + "elastic",
                    CONTROLLER + "..")
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .dependOnClassesThat()
            .haveNameMatching("java\\.util\\.Random|java\\.time\\.Clock|java\\.lang\\.Thread");

    @ArchTest
    static final ArchRule ONLY_THE_CONTROLLER_KNOWS_THE_DECISIONS = noClasses()
            .that()
            .resideOutsideOfPackages(CONTROLLER + "..", ROOT + "floor", ROOT + "triage", ROOT + "store")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(ROOT + "floor", ROOT + "triage");

    @ArchTest
    static final ArchRule THE_WIRE_KNOWS_NOBODY = noClasses()
            .that()
            .resideInAPackage(ROOT + "wire")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(CONTROLLER + "..", ROOT + "store", ROOT + "floor", ROOT + "plan");
}
