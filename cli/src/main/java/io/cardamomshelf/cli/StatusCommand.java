package io.cardamomshelf.cli;

import io.cardamomshelf.client.OperatorViews;
import io.cardamomshelf.core.base.Endpoint;
import java.util.Map;
import java.util.Optional;
import joptsimple.OptionSet;

/**
 * Prints the state of each instance: data centres, free accelerators, guarantees and quarantined
 * workers.
 */
final class StatusCommand implements Command {

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "shows data centres, free accelerators, guarantees and quarantined workers";
    }

    @Override
    public String example() {
        return "status --json";
    }

    @Override
    public void run(OptionSet options, CommandContext context) throws CliException {
        Map<Endpoint, Optional<OperatorViews.Status>> answers =
                context.queryInstances(entry -> context.entryClient().status(entry));
        answers.forEach((entry, status) -> print(entry, status, context));
        if (answers.values().stream().allMatch(Optional::isEmpty)) {
            throw new CliException(ExitCode.UNREACHABLE, "no instance answers");
        }
    }

    private static void print(
            Endpoint entry, Optional<OperatorViews.Status> answer, CommandContext context) {
        if (answer.isEmpty()) {
            context.print(entry + " doesn't answer");
            return;
        }
        OperatorViews.Status status = answer.get();
        if (context.isJson()) {
            context.printJson(status);
            return;
        }
        context.print(
                status.instance()
                        + " in "
                        + status.dataCentre()
                        + ", offset "
                        + status.configOffset()
                        + (status.logReachable() ? "" : ", log away"));
        for (OperatorViews.DataCentreView dataCentre : status.dataCentres()) {
            context.print(
                    "  "
                            + dataCentre.dataCentre()
                            + (dataCentre.in() ? " in" : " out")
                            + ", accelerators free "
                            + dataCentre.free()
                            + ", reclaimable "
                            + dataCentre.reclaimable()
                            + ", all "
                            + dataCentre.total()
                            + (dataCentre.guaranteesPack() ? "" : ", guarantees unmet"));
        }
        status.quarantined().forEach(worker -> context.print("  " + worker + " quarantined"));
    }
}
