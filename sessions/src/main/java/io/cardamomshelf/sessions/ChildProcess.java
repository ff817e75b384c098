package io.cardamomshelf.sessions;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A process of ours on this machine, started from the class path of this one.
 *
 * <p>Use: {@code ChildProcess.start(log, MainClass, args)}; {@code port("callers")} is what it
 * printed when it was ready. {@code signal("STOP")} freezes it and {@code signal("CONT")} lets it
 * go on.
 *
 * <p>Not thread-safe.
 */
public final class ChildProcess {

    private static final long END_BOUND_SECONDS = 60;
    private static final List<String> JVM_OPTIONS =
            List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

    private final Process process;
    private final Map<String, Integer> ports;

    private ChildProcess(Process process, Map<String, Integer> ports) {
        this.process = process;
        this.ports = ports;
    }

    /**
     * Starts a process and waits until it is ready.
     *
     * @param errors where its standard error goes, not null
     * @param mainClass the class to run, not null
     * @param args its arguments, not null
     * @return the process, never null
     * @throws SessionException if it ends before it is ready
     */
    public static ChildProcess start(Path errors, Class<?> mainClass, String... args)
            throws SessionException {
        try {
            Process process =
                    new ProcessBuilder(command(mainClass, args))
                            .redirectError(errors.toFile())
                            .start();
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8));
            String line = reader.readLine();
            if (line == null || !line.startsWith("ready ")) {
                process.destroyForcibly();
                throw new SessionException(mainClass.getSimpleName() + " wasn't ready: " + line);
            }
            return new ChildProcess(process, ports(line));
        } catch (IOException e) {
            throw new SessionException(mainClass.getSimpleName() + " can't start: " + e);
        }
    }

    /**
     * Starts a process that logs to its standard output, and waits until a word shows up there.
     *
     * @param output where its standard output goes, not null
     * @param errors where its standard error goes, not null
     * @param word what it logs once it is ready, not null
     * @param mainClass the class to run, not null
     * @param args its arguments, not null
     * @return the process, never null
     * @throws SessionException if it ends before it is ready, or isn't within a minute
     */
    public static ChildProcess startLogging(
            Path output, Path errors, String word, Class<?> mainClass, String... args)
            throws SessionException {
        try {
            Process process =
                    new ProcessBuilder(command(mainClass, args))
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                            .redirectError(errors.toFile())
                            .start();
            long before = Files.exists(output) ? Files.size(output) : 0;
            ChildProcess child = new ChildProcess(process, Map.of());
            Wait.until(
                    mainClass.getSimpleName() + " is ready",
                    () -> !process.isAlive() || child.hasLogged(output, before, word));
            if (!process.isAlive()) {
                throw new SessionException(mainClass.getSimpleName() + " ended, see " + errors);
            }
            return child;
        } catch (IOException e) {
            throw new SessionException(mainClass.getSimpleName() + " can't start: " + e);
        }
    }

    private boolean hasLogged(Path output, long from, String word) throws SessionException {
        try {
            byte[] all = Files.readAllBytes(output);
            int start = (int) Math.min(from, all.length);
            return new String(all, start, all.length - start, StandardCharsets.UTF_8)
                    .contains(word);
        } catch (IOException e) {
            throw new SessionException("can't read " + output + ": " + e);
        }
    }

    /**
     * Returns the command line that runs a class in a process of its own.
     *
     * @param mainClass the class to run, not null
     * @param args its arguments, not null
     * @return the words, never null
     */
    public static List<String> command(Class<?> mainClass, String... args) {
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.addAll(JVM_OPTIONS);
        words.add("-cp");
        words.add(System.getProperty("java.class.path"));
        words.add(mainClass.getName());
        words.addAll(List.of(args));
        return words;
    }

    /**
     * Returns a port that the process printed.
     *
     * @param name the port's name, not null
     * @return the port
     */
    public int port(String name) {
        return ports.get(name);
    }

    /**
     * Asks whether the process lives.
     *
     * @return true if it does
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process at once, as a crash would. */
    public void kill() {
        process.destroyForcibly();
    }

    /**
     * Ends the process with SIGTERM and waits.
     *
     * @return its exit code
     * @throws SessionException if it doesn't end within a minute
     */
    public int terminate() throws SessionException {
        process.destroy();
        return awaitEnd();
    }

    /**
     * Waits until the process has ended.
     *
     * @return its exit code
     * @throws SessionException if it doesn't end within a minute
     */
    public int awaitEnd() throws SessionException {
        try {
            if (!process.waitFor(END_BOUND_SECONDS, TimeUnit.SECONDS)) {
                throw new SessionException("process " + process.pid() + " doesn't end");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SessionException("interrupted");
        }
    }

    /**
     * Sends the process a signal.
     *
     * @param name the signal's name, such as {@code STOP} or {@code CONT}, not null
     * @throws SessionException if it can't be sent
     */
    public void signal(String name) throws SessionException {
        try {
            int code = new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
            if (code != 0) {
                throw new SessionException("signal " + name + " failed: " + code);
            }
        } catch (IOException e) {
            throw new SessionException("signal " + name + " failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SessionException("interrupted");
        }
    }

    private static Map<String, Integer> ports(String line) {
        Map<String, Integer> ports = new HashMap<>();
        for (String word : line.substring("ready ".length()).split(" ")) {
            String[] parts = word.split("=");
            ports.put(parts[0], Integer.parseInt(parts[1]));
        }
        return ports;
    }
}
