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
 * Runs every test, and passes over the failure of those that {@code KNOWN-RED.txt} lists.
 *
 * <p>Use: a test dependency of a module; it registers itself. An entry is {@code Class#method} or,
 * for one case of a parameterized test, {@code Class#method[arguments]}. A listed test that passes
 * fails the build, so that no entry outlives its fault.
 *
 * <p>Stateless and thread-safe.
 */
public final class KnownRedExtension implements InvocationInterceptor {

    private static final String FILE = "KNOWN-RED.txt";
    private static final String FIELD = " | ";

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
        Optional<String> entry = entry(name(context));
        if (entry.isEmpty()) {
            invocation.proceed();
            return;
        }
        try {
            invocation.proceed();
        } catch (AssertionFailedError e) {
            PrintStream out = System.out;
            out.println("KNOWN-RED " + entry.get() + FIELD + "now: " + e.getMessage());
            throw new TestAbortedException("known red: " + e.getMessage(), e);
        }
        throw new AssertionFailedError("passes now, take it out of " + FILE + ": " + entry.get());
    }

    private static String name(ReflectiveInvocationContext<Method> context) {
        String method =
                context.getTargetClass().getSimpleName() + "#" + context.getExecutable().getName();
        List<Object> arguments = context.getArguments();
        return arguments.isEmpty() ? method : method + arguments;
    }

    private static Optional<String> entry(String name) {
        Path here = Path.of("").toAbsolutePath();
        Path file = Files.exists(here.resolve(FILE)) ? here : here.getParent();
        try {
            return Files.readAllLines(file.resolve(FILE)).stream()
                    .filter(line -> line.startsWith(name + FIELD))
                    .findFirst();
        } catch (IOException e) {
            throw new UncheckedIOException(FILE + " can't be read", e);
        }
    }
}
