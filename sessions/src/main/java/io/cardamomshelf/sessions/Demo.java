package io.cardamomshelf.sessions;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The demo: runs {@link DemoSession} and {@link PlatformSession} with separate processes on
 * loopback and prints {@code demo ok} last.
 *
 * <p>Exit codes: 0 if every step had the expected result, 1 if not.
 */
public final class Demo {

    private static final int PLATFORM_WORKERS = 4;
    private static final int FAILED = 1;

    private Demo() {}

    /**
     * Runs the demo.
     *
     * @param args none
     * @throws IOException if the temporary folder can't be created
     */
    public static void main(String[] args) throws IOException {
        PrintStream out = System.out;
        Path folder = Files.createTempDirectory("cardamomshelf-demo");
        try {
            run(folder, out);
            out.println("demo ok");
        } catch (SessionException e) {
            out.println("demo failed: " + e.getMessage());
            out.println("logs are in " + folder);
            System.exit(FAILED);
        }
    }

    private static void run(Path folder, PrintStream out) throws SessionException {
        Deployment deployment = Deployment.start(folder);
        try (deployment) {
            new DemoSession(deployment, out::println).run();
        }
        if (deployment.countAlive() > 0) {
            throw new SessionException(
                    deployment.countAlive() + " processes are still alive after the demo");
        }
        try (PlatformDeployment platform = PlatformDeployment.start(folder, PLATFORM_WORKERS)) {
            new PlatformSession(platform, out::println).run();
        }
    }
}
