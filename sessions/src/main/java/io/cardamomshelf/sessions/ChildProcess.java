package io.cardamomshelf.sessions;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A child process on this host that runs a main class with the class path of this process.
 *
 * <p>Use: {@code ChildProcess.start(log, MainClass, args)}. The process prints its ports when it is
 * ready; {@code port("callers")} returns one of them. {@code signal("STOP")} freezes the process
 * and {@code signal("CONT")} resumes it.
 *
 * <p>Not thread-safe.
 */
public final class ChildProcess {

    private static final long END_TIMEOUT_SECONDS = 60;
    private static final List<String> JVM_OPTIONS =
            List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

    private final Process process;
    private final Map<String, Integer> ports;

    private ChildProcess(Process process, Map<String, Integer> ports) {
        this.process = process;
        this.ports = ports;
    }

    /**
     * Starts a process and waits until it prints that it is ready.
     *
     * @param errors the file for its standard error, not null
     * @param mainClass the class to run, not null
     * @param args its arguments, not null
     * @return the process, never null
     * @throws SessionException if it ends before it is ready
     */
    public static ChildProcess start(Path errors, Class<?> mainClass, String... args)
            throws SessionException {
        try {
            Process process = startProcess(errors, mainClass, args);
            BufferedReader reader = process.inputReader(StandardCharsets.UTF_8);
            return new ChildProcess(process, readPorts(process, reader, mainClass));
        } catch (IOException e) {
            throw new SessionException(mainClass.getSimpleName() + " can't start: " + e);
        }
    }

    /**
     * Starts a process that logs to its standard output, and waits until it has logged a text.
     *
     * @param output the file that its standard output is appended to, not null
     * @param errors the file for its standard error, not null
     * @param readyText the text that it logs once it is ready, not null
     * @param options further options of its virtual machine, not null
     * @param mainClass the class to run, not null
     * @param args its arguments, not null
     * @return the process, never null
     * @throws SessionException if it ends before it is ready, or isn't within a minute
     */
    public static ChildProcess startLogging(
            Path output,
            Path errors,
            String readyText,
            List<String> options,
            Class<?> mainClass,
            String... args)
            throws SessionException {
        List<String> commandLine = command(mainClass, args);
        commandLine.addAll(1 + JVM_OPTIONS.size(), options);
        try {
            Process process =
                    new ProcessBuilder(commandLine)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                            .redirectError(errors.toFile())
                            .start();
            long previousSize = Files.exists(output) ? Files.size(output) : 0;
            ChildProcess child = new ChildProcess(process, Map.of());
            Wait.until(
                    mainClass.getSimpleName() + " is ready",
                    () -> !process.isAlive() || child.hasLogged(output, previousSize, readyText));
            if (!process.isAlive()) {
                throw new SessionException(
                        mainClass.getSimpleName() + " ended before it was ready, see " + errors);
            }
            return child;
        } catch (IOException e) {
            throw new SessionException(mainClass.getSimpleName() + " can't start: " + e);
        }
    }

    /**
     * Starts a process whose first line says that it is ready, and passes on all further lines.
     *
     * @param errors the file for its standard error, not null
     * @param lines receives the further lines of its standard output on a thread of its own, not
     *     null
     * @param mainClass the class to run, not null
     * @param args its arguments, not null
     * @return the process, never null
     * @throws SessionException if it ends before it is ready
     */
    static ChildProcess startReporting(
            Path errors, Consumer<String> lines, Class<?> mainClass, String... args)
            throws SessionException {
        try {
            Process process = startProcess(errors, mainClass, args);
            BufferedReader reader = process.inputReader(StandardCharsets.UTF_8);
            ChildProcess child = new ChildProcess(process, readPorts(process, reader, mainClass));
            Thread thread = new Thread(() -> reader.lines().forEach(lines));
            thread.setDaemon(true);
            thread.start();
            return child;
        } catch (IOException e) {
            throw new SessionException(mainClass.getSimpleName() + " can't start: " + e);
        }
    }

    /**
     * Starts a process and doesn't wait for it.
     *
     * @param output the file that its standard output is appended to, not null
     * @param errors the file that its standard error is appended to, not null
     * @param options further options of its virtual machine, not null
     * @param mainClass the class to run, not null
     * @param args its arguments, not null
     * @return the process, never null
     * @throws SessionException if it can't start
     */
    static ChildProcess launch(
            Path output, Path errors, List<String> options, Class<?> mainClass, String... args)
            throws SessionException {
        List<String> commandLine = command(mainClass, args);
        commandLine.addAll(1, options);
        try {
            Process process =
                    new ProcessBuilder(commandLine)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                            .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                            .start();
            return new ChildProcess(process, Map.of());
        } catch (IOException e) {
            throw new SessionException(mainClass.getSimpleName() + " can't start: " + e);
        }
    }

    private static Process startProcess(Path errors, Class<?> mainClass, String... args)
            throws IOException {
        return new ProcessBuilder(command(mainClass, args))
                .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                .start();
    }

    private static Map<String, Integer> readPorts(
            Process process, BufferedReader reader, Class<?> mainClass)
            throws IOException, SessionException {
        String line = reader.readLine();
        if (line == null || !line.startsWith("ready ")) {
            process.destroyForcibly();
            throw new SessionException(
                    mainClass.getSimpleName() + " printed no ready line, but: " + line);
        }
        return parsePorts(line);
    }

    /**
     * Writes a line to the standard input of the process.
     *
     * @param line the line, not null
     * @throws SessionException if the process has ended
     */
    synchronized void send(String line) throws SessionException {
        try {
            process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            process.getOutputStream().flush();
        } catch (IOException e) {
            throw new SessionException("process " + process.pid() + " takes no input: " + e);
        }
    }

    private boolean hasLogged(Path output, long from, String text) throws SessionException {
        try {
            byte[] all = Files.readAllBytes(output);
            int start = (int) Math.min(from, all.length);
            return new String(all, start, all.length - start, StandardCharsets.UTF_8)
                    .contains(text);
        } catch (IOException e) {
            throw new SessionException("can't read " + output + ": " + e);
        }
    }

    /**
     * Returns the command line that runs a class in a process of its own.
     *
     * @param mainClass the class to run, not null
     * @param args its arguments, not null
     * @return the program and its arguments, never null
     */
    public static List<String> command(Class<?> mainClass, String... args) {
        List<String> commandLine = new ArrayList<>();
        commandLine.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        commandLine.addAll(JVM_OPTIONS);
        commandLine.add("-cp");
        commandLine.add(System.getProperty("java.class.path"));
        commandLine.add(mainClass.getName());
        commandLine.addAll(List.of(args));
        return commandLine;
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
     * Returns the identifier of the process.
     *
     * @return the identifier
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Checks whether the process is alive.
     *
     * @return true if it is alive
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process, as a crash would end it. */
    public void kill() {
        process.destroyForcibly();
    }

    /**
     * Ends the process with SIGTERM and waits until it has ended.
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
            if (!process.waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new SessionException(
                        "process "
                                + process.pid()
                                + " did not end within "
                                + END_TIMEOUT_SECONDS
                                + " s");
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
                throw new SessionException("signal " + name + " failed: kill ended with " + code);
            }
        } catch (IOException e) {
            throw new SessionException("signal " + name + " failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SessionException("interrupted");
        }
    }

    private static Map<String, Integer> parsePorts(String line) {
        Map<String, Integer> ports = new HashMap<>();
        for (String pair : line.substring("ready ".length()).split(" ")) {
            String[] parts = pair.split("=");
            ports.put(parts[0], Integer.parseInt(parts[1]));
        }
        return ports;
    }
}
