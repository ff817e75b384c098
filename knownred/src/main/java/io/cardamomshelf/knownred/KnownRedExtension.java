package io.cardamomshelf.knownred;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.AssertionFailedError;
import org.opentest4j.TestAbortedException;

/**
 * Runs every test, and reports a failed assertion of a test that {@code KNOWN-RED.txt} lists as
 * aborted instead of failed.
 *
 * <p>Use: add this module as a test dependency; JUnit finds the extension as a service. An entry
 * starts with {@code Class#method} or, for one case of a parameterized test, {@code
 * Class#method[arguments]}. A listed test that passes fails the build, so that the entry is removed
 * once the fault is mended.
 *
 * <p>Stateless and thread-safe.
 */
public final class KnownRedExtension implements InvocationInterceptor {

    private static final String FILE = "KNOWN-RED.txt";
    private static final String SEPARATOR = " | ";

    /** Creates the extension. */
    public KnownRedExtension() {}

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation,
            ReflectiveInvocationContext<Method> context,
            ExtensionContext extension)
            throws Throwable {
        intercept(invocation, context);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> invocation,
            ReflectiveInvocationContext<Method> context,
            ExtensionContext extension)
            throws Throwable {
        intercept(invocation, context);
    }

    private static void intercept(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> context)
            throws Throwable {
        Optional<String> entry = findEntry(testName(context));
        if (entry.isEmpty()) {
            invocation.proceed();
            return;
        }
        try {
            invocation.proceed();
        } catch (AssertionFailedError e) {
            PrintStream out = System.out;
            out.println("KNOWN-RED " + entry.get() + SEPARATOR + "now: " + e.getMessage());
            throw new TestAbortedException("known red: " + e.getMessage(), e);
        }
        throw new AssertionFailedError(
                "the test passes, remove it from " + FILE + ": " + entry.get());
    }

    private static String testName(ReflectiveInvocationContext<Method> context) {
        String method =
                context.getTargetClass().getSimpleName() + "#" + context.getExecutable().getName();
        List<Object> arguments = context.getArguments();
        return arguments.isEmpty() ? method : method + arguments;
    }

    private static Optional<String> findEntry(String name) {
        Path workingFolder = Path.of("").toAbsolutePath();
        Path folder =
                Files.exists(workingFolder.resolve(FILE))
                        ? workingFolder
                        : workingFolder.getParent();
        try {
            return Files.readAllLines(folder.resolve(FILE)).stream()
                    .filter(line -> line.startsWith(name + SEPARATOR))
                    .findFirst();
        } catch (IOException e) {
            throw new UncheckedIOException("can't read " + FILE, e);
        }
    }
}
