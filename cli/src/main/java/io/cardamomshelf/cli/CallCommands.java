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

/** The subcommands that speak as a caller: {@code job} and {@code request}. */
final class CallCommands {

    private static final int REJECTED_FROM = 400;

    private CallCommands() {}

    /** Submits, shows and cancels a job. */
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
        public void declare(OptionParser parser) {
            parser.nonOptions("submit FILE, show ID, cancel ID or list");
        }

        @Override
        public void run(OptionSet options, Session session) throws CliException {
            List<?> words = options.nonOptionArguments();
            if (words.equals(List.of("list"))) {
                list(session);
                return;
            }
            if (words.size() != 2) {
                throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
            }
            String what = (String) words.get(1);
            switch ((String) words.get(0)) {
                case "submit" -> call(session, HttpMethod.POST, "/v1/jobs", "", text(what));
                case "show" -> call(session, HttpMethod.GET, "/v1/jobs/" + what, "", null);
                case "cancel" -> call(session, HttpMethod.DELETE, "/v1/jobs/" + what, "", null);
                default -> throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
            }
        }
    }

    /** Lists the jobs that haven't ended, as the first instance that answers tells them. */
    private static void list(Session session) throws CliException {
        OperatorViews.Jobs jobs =
                session.ask(entry -> session.entries().jobs(entry)).values().stream()
                        .flatMap(Optional::stream)
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new CliException(
                                                ExitCode.UNREACHABLE, "no instance answers"));
        for (OperatorViews.JobView job : jobs.jobs()) {
            if (session.isJson()) {
                session.printJson(job);
            } else {
                session.print(line(job));
            }
        }
    }

    private static String line(OperatorViews.JobView job) {
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

    /** Sends a request. */
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
        public void declare(OptionParser parser) {
            parser.accepts("key", "the idempotency key").withRequiredArg().defaultsTo("");
            parser.nonOptions("FILE");
        }

        @Override
        public void run(OptionSet options, Session session) throws CliException {
            List<?> words = options.nonOptionArguments();
            if (words.size() != 1) {
                throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
            }
            String key = (String) options.valueOf("key");
            call(session, HttpMethod.POST, "/v1/requests", key, text((String) words.get(0)));
        }
    }

    private static String text(String file) throws CliException {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CliException(ExitCode.WRONG_INPUT, file + ": can't be read");
        }
    }

    private static void call(
            Session session, HttpMethod method, String path, String key, String body)
            throws CliException {
        String callers = session.settings().callers();
        if (callers.isEmpty()) {
            throw new CliException(ExitCode.WRONG_INPUT, "callers: is missing in the settings");
        }
        EntryClient.Reply reply =
                session.await(
                        session.entries().call(method, Endpoint.parse(callers), path, key, body));
        session.print(reply.body());
        if (reply.status() >= REJECTED_FROM) {
            throw new CliException(ExitCode.REFUSED, "answered " + reply.status());
        }
    }
}
