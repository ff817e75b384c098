package io.cardamomshelf.cli;

import io.cardamomshelf.client.EntryClient;
import io.cardamomshelf.client.OperatorViews;
import io.cardamomshelf.core.base.Endpoint;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** The subcommands that use the callers' interface: {@code job} and {@code request}. */
final class CallCommands {

    private static final int FIRST_ERROR_STATUS = 400;

    private CallCommands() {}

    /** Submits, shows or cancels a job, or lists the jobs that haven't ended. */
    static final class Job implements Command {

        @Override
        public String name() {
            return "job";
        }

        @Override
        public String summary() {
            return "submits a job's JSON file, shows or cancels a job, lists the open ones";
        }

        @Override
        public String example() {
            return "job submit job.json | job show ID | job cancel ID | job list";
        }

        @Override
        public void declareOptions(OptionParser parser) {
            parser.nonOptions("submit FILE, show ID, cancel ID or list");
        }

        @Override
        public void run(OptionSet options, CommandContext context) throws CliException {
            List<?> arguments = options.nonOptionArguments();
            if (arguments.equals(List.of("list"))) {
                listJobs(context);
                return;
            }
            if (arguments.size() != 2) {
                throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
            }
            String idOrFile = (String) arguments.get(1);
            switch ((String) arguments.get(0)) {
                case "submit" ->
                        callAndPrint(context, HttpMethod.POST, "/v1/jobs", "", readFile(idOrFile));
                case "show" ->
                        callAndPrint(context, HttpMethod.GET, "/v1/jobs/" + idOrFile, "", null);
                case "cancel" ->
                        callAndPrint(context, HttpMethod.DELETE, "/v1/jobs/" + idOrFile, "", null);
                default -> throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
            }
        }
    }

    /** Prints the jobs that haven't ended, from the first instance that answers. */
    private static void listJobs(CommandContext context) throws CliException {
        OperatorViews.Jobs jobs =
                context.queryInstances(entry -> context.entryClient().jobs(entry)).values().stream()
                        .flatMap(Optional::stream)
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new CliException(
                                                ExitCode.UNREACHABLE, "no instance answers"));
        for (OperatorViews.JobView job : jobs.jobs()) {
            if (context.isJson()) {
                context.printJson(job);
            } else {
                context.print(formatJob(job));
            }
        }
    }

    private static String formatJob(OperatorViews.JobView job) {
        String waits = job.waitsFor().isEmpty() ? "" : ", waits: " + job.waitsFor();
        return job.job()
                + " "
                + job.state()
                + " of "
                + job.organisation()
                + ", "
                + job.accelerators()
                + " accelerators, owner "
                + job.owner()
                + waits;
    }

    /** Sends a request and prints the response. */
    static final class Request implements Command {

        @Override
        public String name() {
            return "request";
        }

        @Override
        public String summary() {
            return "sends a request's JSON file, with a key if it isn't idempotent";
        }

        @Override
        public String example() {
            return "request payout.json --key payout-17";
        }

        @Override
        public void declareOptions(OptionParser parser) {
            parser.accepts("key", "the idempotency key").withRequiredArg().defaultsTo("");
            parser.nonOptions("FILE");
        }

        @Override
        public void run(OptionSet options, CommandContext context) throws CliException {
            List<?> arguments = options.nonOptionArguments();
            if (arguments.size() != 1) {
                throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
            }
            String key = (String) options.valueOf("key");
            callAndPrint(
                    context,
                    HttpMethod.POST,
                    "/v1/requests",
                    key,
                    readFile((String) arguments.get(0)));
        }
    }

    private static String readFile(String file) throws CliException {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CliException(ExitCode.WRONG_INPUT, file + ": can't be read");
        }
    }

    private static void callAndPrint(
            CommandContext context, HttpMethod method, String path, String key, String body)
            throws CliException {
        String callers = context.settings().callers();
        if (callers.isEmpty()) {
            throw new CliException(ExitCode.WRONG_INPUT, "callers: is missing in the settings");
        }
        EntryClient.Reply reply =
                context.await(
                        context.entryClient()
                                .call(method, Endpoint.parse(callers), path, key, body));
        context.print(reply.body());
        if (reply.status() >= FIRST_ERROR_STATUS) {
            throw new CliException(ExitCode.REFUSED, "answered " + reply.status());
        }
    }
}
