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
 * <p>Use: {@code try (Deployment d = Deployment.start(folder)) { d.worker(...); d.entry(...); }}.
 *
 * <p>Not thread-safe.
 */
public final class Deployment implements AutoCloseable {

    /** The operators' token of every entry. */
    public static final String TOKEN = "token-of-the-session";

    private static final String HOST = "127.0.0.1";
    private static final int OK = 200;

    /**
     * What a command printed and how it ended.
     *
     * @param code the exit code
     * @param out what it printed on both outputs, not null
     */
    public record Ended(int code, String out) {}

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
     * Starts the platform's log and list.
     *
     * @param folder where settings and logs go, not null
     * @return the deployment, never null
     * @throws SessionException if a process can't start
     */
    public static Deployment start(Path folder) throws SessionException {
        Deployment deployment = new Deployment(folder);
        deployment.launch("log", StandinMain.class, "log");
        deployment.launch("list", StandinMain.class, "list");
        return deployment;
    }

    /**
     * Starts a worker and lists it.
     *
     * @param name its name, not null
     * @param dataCentre its data centre, not null
     * @param region the data centre's region, not null
     * @throws SessionException if it can't start
     */
    public void worker(String name, String dataCentre, String region) throws SessionException {
        ChildProcess child =
                launch(name, StandinMain.class, "worker", name, dataCentre, dataCentre + "-r1");
        list(name, Instance.Role.WORKER, dataCentre, region, child.port("port"), 0);
    }

    /**
     * Starts an entry and lists it.
     *
     * @param name its name, not null
     * @param dataCentre its data centre, not null
     * @param region the data centre's region, not null
     * @throws SessionException if it can't start
     */
    public void entry(String name, String dataCentre, String region) throws SessionException {
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
        ChildProcess child = launch(name, EntryMain.class, "--settings", settings.toString());
        list(
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
            throw new SessionException(name + " can't be written: " + e);
        }
    }

    /**
     * Runs the operators' command as a process of its own.
     *
     * @param entry the entry that callers' subcommands use, not null
     * @param args the subcommand and its options, not null
     * @return what it printed and how it ended, never null
     * @throws SessionException if it can't run
     */
    public Ended cli(String entry, String... args) throws SessionException {
        Path settings =
                write(
                        "cli.yaml",
                        List.of(
                                "author: thandi",
                                "log: " + endpoint("log", "port"),
                                "entries: [" + operators() + "]",
                                "callers: " + endpoint(entry, "callers"),
                                "token: " + TOKEN));
        List<String> words = new ArrayList<>(List.of(args));
        words.addAll(List.of("--settings", settings.toString()));
        try {
            Process process =
                    new ProcessBuilder(
                                    ChildProcess.command(
                                            CliMain.class, words.toArray(new String[0])))
                            .redirectErrorStream(true)
                            .start();
            String out = new String(process.getInputStream().readAllBytes());
            return new Ended(process.waitFor(), out);
        } catch (IOException e) {
            throw new SessionException("cli can't run: " + e);
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
    public Reply http(String method, String url, String body, String... headers)
            throws SessionException {
        return http.send(method, url, body, headers);
    }

    /**
     * Switches a stand-in's behaviour.
     *
     * @param name the stand-in, not null
     * @param mode the mode's name, not null
     * @param millis the mode's time, in milliseconds
     * @throws SessionException if it doesn't answer
     */
    public void mode(String name, String mode, long millis) throws SessionException {
        String body = "{\"mode\":\"" + mode + "\",\"millis\":" + millis + "}";
        Reply reply = http("PUT", endpoint(name, "port") + "/admin/mode", body);
        if (reply.status() != OK) {
            throw new SessionException(name + " refused mode " + mode + ": " + reply.body());
        }
    }

    /**
     * Waits until every entry serves.
     *
     * @throws SessionException if one doesn't within a minute
     */
    public void awaitReady() throws SessionException {
        for (String entry : entries) {
            Wait.until(
                    entry + " is ready",
                    () -> http("GET", endpoint(entry, "callers") + "/ready", null).status() == OK);
        }
    }

    /**
     * Stops every entry with SIGTERM, one after another.
     *
     * @throws SessionException if one doesn't end with 0
     */
    public void stopEntries() throws SessionException {
        for (String entry : entries) {
            int code = children.get(entry).isAlive() ? children.get(entry).terminate() : 0;
            if (code != 0) {
                throw new SessionException(entry + " ended with " + code);
            }
        }
    }

    /**
     * Returns how many processes still live.
     *
     * @return the number, from 0
     */
    public long alive() {
        return children.values().stream().filter(ChildProcess::isAlive).count();
    }

    /** Kills every process that still lives, and waits until each is gone. */
    @Override
    public void close() throws SessionException {
        children.values().forEach(ChildProcess::kill);
        for (ChildProcess child : children.values()) {
            child.awaitEnd();
        }
    }

    private String operators() {
        return entries.stream()
                .map(entry -> endpoint(entry, "operators"))
                .collect(Collectors.joining(", "));
    }

    private ChildProcess launch(String name, Class<?> mainClass, String... args)
            throws SessionException {
        ChildProcess child = ChildProcess.start(folder.resolve(name + ".log"), mainClass, args);
        children.put(name, child);
        return child;
    }

    private void list(
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
        Reply reply = http("PUT", endpoint("list", "port") + "/instances", Json.write(instance));
        if (reply.status() != OK) {
            throw new SessionException("list refused " + name + ": " + reply.body());
        }
    }
}
