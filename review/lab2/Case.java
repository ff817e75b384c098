import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case: {@code Case NAME REPOSITORY CASE_FOLDER}; TROUBLE=0 leaves the disruption out. */
final class Case {

    /** A case's steps; returns whether the rule held. */
    interface Steps {
        boolean run(Path repository, Path folder, Journal journal, boolean trouble)
                throws Exception;
    }

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private Case() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("cardamomshelf-review-");
        int code;
        try (Journal journal = new Journal(Path.of(args[2], "record.txt"))) {
            Steps steps =
                    switch (args[0]) {
                        case "cancel" -> new CancelAfterAcceptance();
                        case "foreign" -> new ForeignServer();
                        case "reservation" -> new ReservedForLargeGang();
                        case "demand" -> new StepWithoutDemand();
                        default -> throw new IllegalArgumentException("no case: " + args[0]);
                    };
            try {
                boolean held = steps.run(Path.of(args[1]), folder, journal, trouble);
                journal.tell(held ? "the rule held" : "the rule was broken");
                code = held ? HELD : BROKEN;
            } catch (Exception e) {
                journal.tell("the case couldn't run: %s (logs: %s)", e, folder);
                code = NOT_RUN;
            }
        }
        System.exit(code);
    }
}
