package hyssopturn;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noMethods;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "hyssopturn", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] DECISIONS = {
        "hyssopturn.admit..",
        "hyssopturn.route..",
        "hyssopturn.ledger..",
        "hyssopturn.config..",
        "hyssopturn.lease..",
        "hyssopturn.member..",
        "hyssopturn.place..",
        "hyssopturn.log..",
        "hyssopturn.run..",
        "hyssopturn.event..",
        "hyssopturn.catalog..",
        "hyssopturn.chain..",
        "hyssopturn.fleet..",
        "hyssopturn.limit..",
        "hyssopturn.load..",
        "hyssopturn.overload..",
        "hyssopturn.quarantine..",
        "hyssopturn.share.."
    };

    @ArchTest
    static final ArchRule decisionsKnowNoNetwork =
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISIONS)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("io.vertx..", "io.netty..", "java.net..");

    @ArchTest
    static final ArchRule decisionsKnowNoAssembly =
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISIONS)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "hyssopturn.node..",
                            "hyssopturn.cli..",
                            "hyssopturn.front..",
                            "hyssopturn.wire..",
                            "hyssopturn.peer..",
                            "hyssopturn.standin..",
                            "hyssopturn.bench..");

    @ArchTest
    static final ArchRule portsAndModelStandAlone =
            noClasses()
                    .that()
                    .resideInAnyPackage("hyssopturn.port..", "hyssopturn.model..")
                    .should()
                    .dependOnClassesThat()
                    .resideOutsideOfPackages(
                            "hyssopturn.port..",
                            "hyssopturn.model..",
                            "hyssopturn.helper..",
                            "java..");

    @ArchTest
    static final ArchRule onlyTheAssemblyKnowsThePlatform =
            noClasses()
                    .that()
                    .resideOutsideOfPackages(
                            "hyssopturn.platform..", "hyssopturn.node..", "hyssopturn.cli..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("hyssopturn.platform..");

    @ArchTest
    static final ArchRule decisionsReadNoClock =
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISIONS)
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis");

    @ArchTest
    static final ArchRule accessorsHaveNoPrefix =
            noMethods()
                    .that()
                    .arePublic()
                    .and()
                    .areDeclaredInClassesThat()
                    .resideOutsideOfPackage("..generated..")
                    .should()
                    .haveNameMatching("get[A-Z].*");
}
