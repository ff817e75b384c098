package io.cardamomshelf.cli;

import io.cardamomshelf.client.OperatorViews;
import io.cardamomshelf.core.base.Endpoint;
import java.util.Map;
import java.util.Optional;
import joptsimple.OptionSet;

/**
 * Shows each instance's state: data centres, free accelerators, guarantees, quarantined workers.
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
    public void run(OptionSet options, Session session) throws CliException {
        Map<Endpoint, Optional<OperatorViews.Status>> answers =
                session.ask(entry -> session.entries().status(entry));
        answers.forEach((entry, status) -> print(entry, status, session));
        if (answers.values().stream().allMatch(Optional::isEmpty)) {
            throw new CliException(ExitCode.UNREACHABLE, "no instance answers");
        }
    }

    private static void print(
            Endpoint entry, Optional<OperatorViews.Status> answer, Session session) {
        if (answer.isEmpty()) {
            session.print(entry + " doesn't answer");
            return;
        }
        OperatorViews.Status status = answer.get();
        if (session.isJson()) {
            session.printJson(status);
            return;
        }
        session.print(
                status.instance()
                        + " in "
                        + status.dataCentre()
                        + ", offset "
                        + status.configOffset()
                        + (status.logReachable() ? "" : ", log away"));
        for (OperatorViews.DataCentreView site : status.dataCentres()) {
            session.print(
                    "  "
                            + site.dataCentre()
                            + (site.in() ? " in" : " out")
                            + ", accelerators free "
                            + site.free()
                            + ", reclaimable "
                            + site.reclaimable()
                            + ", all "
                            + site.total()
                            + (site.guaranteesPack() ? "" : ", guarantees unmet"));
        }
        status.quarantined().forEach(worker -> session.print("  " + worker + " quarantined"));
    }
}
