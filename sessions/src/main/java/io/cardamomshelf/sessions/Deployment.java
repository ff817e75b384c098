package io.cardamomshelf.sessions;

import io.cardamomshelf.cli.CliMain;
import io.cardamomshelf.client.Json;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.membership.Instance;
import io.cardamomshelf.entry.EntryMain;
import io.cardamomshelf.standin.StandinMain;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * A small deployment of separate processes on loopback: the platform's stand-ins, workers and
 * entries.
 *
 * <p>Use: {@code try (Deployment d = Deployment.start(folder)) { d.startWorker(...);
 * d.startEntry(...); }}.
 *
 * <p>Not thread-safe.
 */
public final class Deployment implements AutoCloseable {

    /** The operators' token of every entry. */
    public static final String TOKEN = "token-of-the-session";

    private static final String HOST = "127.0.0.1";
    private static final int OK = 200;

    /**
     * The output and exit code of a command.
     *
     * @param exitCode the exit code
     * @param output what it printed to standard output and standard error, not null
     */
    public record CommandResult(int exitCode, String output) {}

    /**
     * An HTTP answer.
     *
     * @param status the status
     * @param body the body, not null
     */
    public record Reply(int status, String body) {}

    private final Path folder;
    private final Http http = new Http();
    private final Map<String, ChildProcess> children = new LinkedHashMap<>();
    private final List<String> entries = new ArrayList<>();

    private Deployment(Path folder) {
        this.folder = folder;
    }

    /**
     * Starts the stand-ins of the platform's log and of its list of instances.
     *
     * @param folder the folder for settings and logs, not null
     * @return the deployment, never null
     * @throws SessionException if a process can't start
     */
    public static Deployment start(Path folder) throws SessionException {
        Deployment deployment = new Deployment(folder);
        deployment.startProcess("log", StandinMain.class, "log");
        deployment.startProcess("list", StandinMain.class, "list");
        return deployment;
    }

    /**
     * Starts a worker and registers it in the list of instances.
     *
     * @param name its name, not null
     * @param dataCentre its data centre, not null
     * @param region the data centre's region, not null
     * @throws SessionException if it can't start
     */
    public void startWorker(String name, String dataCentre, String region) throws SessionException {
        ChildProcess child =
                startProcess(
                        name, StandinMain.class, "worker", name, dataCentre, dataCentre + "-r1");
        register(name, Instance.Role.WORKER, dataCentre, region, child.port("port"), 0);
    }

    /**
     * Starts an entry and registers it in the list of instances.
     *
     * @param name its name, not null
     * @param dataCentre its data centre, not null
     * @param region the data centre's region, not null
     * @throws SessionException if it can't start
     */
    public void startEntry(String name, String dataCentre, String region) throws SessionException {
        Path settings =
                write(
                        name + ".yaml",
                        List.of(
                                "instance: " + name,
                                "dataCentre: " + dataCentre,
                                "region: " + region,
                                "callers: 127.0.0.1:0",
                                "operators: {token: " + TOKEN + "}",
                                "peers: 127.0.0.1:0",
                                "platform:",
                                "  log: " + endpoint("log", "port"),
                                "  list: " + endpoint("list", "port"),
                                "shutdown: {announceMillis: 300}"));
        ChildProcess child = startProcess(name, EntryMain.class, "--settings", settings.toString());
        register(
                name,
                Instance.Role.ENTRY,
                dataCentre,
                region,
                child.port("callers"),
                child.port("peers"));
        entries.add(name);
    }

    /**
     * Returns a process.
     *
     * @param name its name, not null
     * @return the process, null if there is none of that name
     */
    public ChildProcess child(String name) {
        return children.get(name);
    }

    /**
     * Returns the address of a process's port.
     *
     * @param name the process's name, not null
     * @param port the port's name, not null
     * @return the address as {@code host:port}, never null
     */
    public String endpoint(String name, String port) {
        return HOST + ":" + children.get(name).port(port);
    }

    /**
     * Writes a file into the session's folder.
     *
     * @param name the file's name, not null
     * @param lines its lines, not null
     * @return the file, never null
     * @throws SessionException if it can't be written
     */
    public Path write(String name, List<String> lines) throws SessionException {
        try {
            return Files.write(folder.resolve(name), lines);
        } catch (IOException e) {
            throw new SessionException("can't write " + name + ": " + e);
        }
    }

    /**
     * Runs the operators' command in a separate process.
     *
     * @param entry the entry that subcommands for callers connect to, not null
     * @param args the subcommand and its options, not null
     * @return its output and exit code, never null
     * @throws SessionException if it can't run
     */
    public CommandResult runCommand(String entry, String... args) throws SessionException {
        Path settings =
                write(
                        "cli.yaml",
                        List.of(
                                "author: thandi",
                                "log: " + endpoint("log", "port"),
                                "entries: [" + operatorsEndpoints() + "]",
                                "callers: " + endpoint(entry, "callers"),
                                "token: " + TOKEN));
        List<String> arguments = new ArrayList<>(List.of(args));
        arguments.addAll(List.of("--settings", settings.toString()));
        try {
            Process process =
                    new ProcessBuilder(
                                    ChildProcess.command(
                                            CliMain.class, arguments.toArray(new String[0])))
                            .redirectErrorStream(true)
                            .start();
            String output = new String(process.getInputStream().readAllBytes());
            return new CommandResult(process.waitFor(), output);
        } catch (IOException e) {
            throw new SessionException("can't run the operators' command: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SessionException("interrupted");
        }
    }

    /**
     * Sends an HTTP request.
     *
     * @param method the method, not null
     * @param url the address without {@code http://}, not null
     * @param body the body, null for none
     * @param headers names and values in turn, not null
     * @return the answer, never null
     * @throws SessionException if there is no answer
     */
    public Reply send(String method, String url, String body, String... headers)
            throws SessionException {
        return http.send(method, url, body, headers);
    }

    /**
     * Sets the mode of a stand-in.
     *
     * @param name the stand-in, not null
     * @param mode the mode's name, not null
     * @param millis the duration that belongs to the mode, in milliseconds
     * @throws SessionException if it doesn't answer
     */
    public void setMode(String name, String mode, long millis) throws SessionException {
        String body = "{\"mode\":\"" + mode + "\",\"millis\":" + millis + "}";
        Reply reply = send("PUT", endpoint(name, "port") + "/admin/mode", body);
        if (reply.status() != OK) {
            throw new SessionException(name + " refused mode " + mode + ": " + reply.body());
        }
    }

    /**
     * Waits until every entry is ready.
     *
     * @throws SessionException if an entry isn't ready within a minute
     */
    public void awaitReady() throws SessionException {
        for (String entry : entries) {
            Wait.until(
                    entry + " is ready",
                    () -> send("GET", endpoint(entry, "callers") + "/ready", null).status() == OK);
        }
    }

    /**
     * Stops every entry with SIGTERM, one after another.
     *
     * @throws SessionException if the exit code of an entry isn't 0
     */
    public void stopEntries() throws SessionException {
        for (String entry : entries) {
            int exitCode = children.get(entry).isAlive() ? children.get(entry).terminate() : 0;
            if (exitCode != 0) {
                throw new SessionException(entry + " ended with exit code " + exitCode);
            }
        }
    }

    /**
     * Counts the processes that are still alive.
     *
     * @return the number, from 0
     */
    public long countAlive() {
        return children.values().stream().filter(ChildProcess::isAlive).count();
    }

    /** Kills every process that is still alive, and waits until each has ended. */
    @Override
    public void close() throws SessionException {
        children.values().forEach(ChildProcess::kill);
        for (ChildProcess child : children.values()) {
            child.awaitEnd();
        }
    }

    private String operatorsEndpoints() {
        return entries.stream()
                .map(entry -> endpoint(entry, "operators"))
                .collect(Collectors.joining(", "));
    }

    private ChildProcess startProcess(String name, Class<?> mainClass, String... args)
            throws SessionException {
        ChildProcess child = ChildProcess.start(folder.resolve(name + ".log"), mainClass, args);
        children.put(name, child);
        return child;
    }

    private void register(
            String name,
            Instance.Role role,
            String dataCentre,
            String region,
            int port,
            int peerPort)
            throws SessionException {
        Instance instance =
                new Instance(
                        name,
                        role,
                        DataCentreId.of(dataCentre),
                        region,
                        HOST,
                        port,
                        peerPort,
                        false);
        Reply reply = send("PUT", endpoint("list", "port") + "/instances", Json.write(instance));
        if (reply.status() != OK) {
            throw new SessionException(
                    "the list refused to register " + name + ": " + reply.body());
        }
    }
}
