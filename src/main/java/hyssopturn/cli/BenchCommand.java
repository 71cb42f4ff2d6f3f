package hyssopturn.cli;

import hyssopturn.bench.Bench;
import hyssopturn.bench.Report;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Measures whole nodes against the bound, in virtual time. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description =
                "Runs nodes and stand-ins in this process under virtual time and reports how much"
                        + " work finishes within its target, over the most that could.")
final class BenchCommand implements Callable<Integer> {
    private static final String ALL = "all";

    @Parameters(
            paramLabel = "SCENARIO",
            arity = "0..1",
            description = "name of a scenario, or all; see --list")
    private Optional<String> scenario;

    @Option(names = "--list", description = "name the scenarios and variants, and end")
    private boolean list;

    @Option(
            names = "--seed",
            defaultValue = "${env:HYSSOPTURN_SEED:-1}",
            description = "seed of the schedule of arrivals. Default: 1. Variable: HYSSOPTURN_SEED")
    private long seed;

    @Option(
            names = "--site",
            defaultValue = "${env:HYSSOPTURN_SITE:-workshop}",
            description =
                    "installation to run: workshop or haven. Default: workshop."
                            + " Variable: HYSSOPTURN_SITE")
    private String site;

    @Option(
            names = "--variants",
            split = ",",
            paramLabel = "NAME",
            description = "variants to run, parted by commas. Default: all")
    private List<String> variants;

    @Option(names = "--json", paramLabel = "FILE", description = "write the figures as JSON")
    private Optional<Path> json;

    @Option(names = "--html", paramLabel = "FILE", description = "write a page with plots")
    private Optional<Path> html;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        if (list || scenario.isEmpty()) {
            Bench.scenarios().forEach(out::println);
            out.println("variants: " + String.join(", ", Bench.variantNames()));
            return list ? ExitCodes.OK : ExitCodes.USAGE;
        }
        List<String> names =
                scenario.get().equals(ALL) ? Bench.scenarioNames() : List.of(scenario.get());
        List<String> chosen = variants == null ? Bench.variantNames() : variants;
        boolean known =
                Bench.scenarioNames().containsAll(names)
                        && chosen.stream().allMatch(Bench::knows)
                        && List.of("workshop", "haven").contains(site);
        if (!known) {
            spec.commandLine().getErr().println("unknown name; see bench --list");
            return ExitCodes.USAGE;
        }
        Logger.getLogger("").setLevel(Level.WARNING);
        for (String name : names) {
            report(Bench.of(site, seed).run(name, chosen), names.size() > 1, out);
        }
        return ExitCodes.OK;
    }

    private void report(Report report, boolean several, PrintWriter out) throws IOException {
        out.println(report.text());
        out.flush();
        if (json.isPresent()) {
            Files.writeString(file(json.get(), report, several), report.json());
        }
        if (html.isPresent()) {
            Files.writeString(file(html.get(), report, several), report.html());
        }
    }

    /** With several scenarios the name of each goes before the name of the file. */
    private static Path file(Path path, Report report, boolean several) {
        return several ? path.resolveSibling(report.scenario() + "-" + path.getFileName()) : path;
    }
}
