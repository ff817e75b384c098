package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.sessions.SoakEvent.Acknowledged;
import io.cardamomshelf.sessions.SoakEvent.Began;
import io.cardamomshelf.sessions.SoakEvent.Call;
import io.cardamomshelf.sessions.SoakEvent.Called;
import io.cardamomshelf.sessions.SoakEvent.Disruption;
import io.cardamomshelf.sessions.SoakEvent.Down;
import io.cardamomshelf.sessions.SoakEvent.Ended;
import io.cardamomshelf.sessions.SoakEvent.Leased;
import io.cardamomshelf.sessions.SoakEvent.Up;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the soak's judge: for each rule a history that breaks it, and one that is allowed. */
class SoakJudgeTest {

    private static final String ID = "00000000000000aa";
    private static final String TASK = ID + ".0.0.0";
    private static final SoakJob JOB = new SoakJob(ID, "low", 9, 3, 1_000, 500, false, false);
    private static final String CALLER = SoakDeployment.sourceAddress(0);
    private static final String OTHER_CALLER = SoakDeployment.sourceAddress(1);
    private static final long FAR = 1_000_000;

    private static List<String> brokenRules(boolean isOver, SoakEvent... events) {
        List<SoakEvent> all = new ArrayList<>(List.of(events));
        Stream.of("w1", "w2").forEach(w -> all.addAll(List.of(new Up(0, w), leased(1, w, FAR))));
        return new SoakJudge(Map.of(ID, JOB), true)
                .judge(all, isOver).stream()
                        .map(SoakJudge.Violation::rule)
                        .distinct()
                        .sorted()
                        .toList();
    }

    private static void assertBroken(String rule, SoakEvent... events) {
        assertEquals(List.of(rule), brokenRules(false, events));
    }

    private static void assertAllowed(SoakEvent... events) {
        assertEquals(List.of(), brokenRules(false, events));
    }

    private static Leased leased(long at, String worker, long until) {
        return new Leased(at, worker, until);
    }

    private static Began began(long at, String worker, int index, long run) {
        return new Began(at, worker, ID + ".0.0." + index, run, JOB.spec(), 1, CALLER);
    }

    private static Ended ended(long at, String worker, long run, String outcome) {
        return new Ended(at, worker, TASK, run, outcome, 1);
    }

    private static Call call(long at, String method, int status, String state) {
        return new Call(at, at + 10, "n0", method, ID, status, state, "");
    }

    @Nested
    class Twice {

        private final SoakEvent first = began(100, "w1", 0, 1);

        @Test
        void secondRunWhileTheFirstGoesOn() {
            assertBroken("TWICE", first, began(200, "w2", 0, 2));
        }

        @Test
        void secondRunAfterTheFirstEnded() {
            assertAllowed(first, ended(150, "w1", 1, "stopped"), began(200, "w2", 0, 2));
        }

        @Test
        void secondRunAfterTheWorkerWasKilled() {
            assertAllowed(first, new Down(150, "w1"), began(200, "w2", 0, 2));
        }

        @Test
        void secondRunAfterTheLeaseLapsedThoughTheWorkerSaysSoLater() {
            assertAllowed(
                    new Up(50, "w1"),
                    leased(60, "w1", 150),
                    first,
                    began(200, "w2", 0, 2),
                    ended(900, "w1", 1, "lapsed"));
        }

        @Test
        void secondRunBeforeTheLeaseLapsed() {
            assertBroken(
                    "TWICE",
                    new Up(50, "w1"),
                    leased(60, "w1", 250),
                    first,
                    began(200, "w2", 0, 2),
                    ended(250, "w1", 1, "lapsed"));
        }

        @Test
        void startAfterAnAcknowledgedEnd() {
            assertBroken(
                    "TWICE",
                    first,
                    ended(150, "w1", 1, "done"),
                    new Acknowledged(160, "w1", 1),
                    began(200, "w2", 0, 2));
        }

        @Test
        void startAfterAnEndThatIsAcknowledgedLater() {
            assertBroken(
                    "TWICE",
                    first,
                    ended(150, "w1", 1, "done"),
                    began(200, "w2", 0, 2),
                    new Acknowledged(260, "w1", 1));
        }

        @Test
        void startAfterAnEndThatNobodyAcknowledges() {
            assertAllowed(first, ended(150, "w1", 1, "done"), began(200, "w2", 0, 2));
        }

        @Test
        void startAfterAnEndWhoseWorkersLeaseLapsedBeforeItWasAcknowledged() {
            assertAllowed(
                    new Up(50, "w1"),
                    leased(60, "w1", 180),
                    first,
                    ended(150, "w1", 1, "done"),
                    leased(190, "w1", FAR),
                    new Acknowledged(195, "w1", 1),
                    began(200, "w2", 0, 2));
        }

        @Test
        void startLongAfterTheJobWasShownAsCompleted() {
            assertBroken("TWICE", call(100, "GET", 200, "completed"), began(5_000, "w1", 0, 2));
        }

        @Test
        void startSoonAfterTheJobWasShownAsCompleted() {
            assertAllowed(call(100, "GET", 200, "completed"), began(1_000, "w1", 0, 2));
        }
    }

    @Nested
    class Limit {

        @Test
        void thirdTaskDoesNotFit() {
            assertBroken(
                    "LIMIT",
                    began(100, "w1", 0, 1),
                    began(110, "w1", 1, 1),
                    began(120, "w1", 2, 1));
        }

        @Test
        void thirdTaskFitsOnceOneHasEnded() {
            assertAllowed(
                    began(100, "w1", 0, 1),
                    began(110, "w1", 1, 1),
                    ended(115, "w1", 1, "stopped"),
                    began(120, "w1", 2, 1));
        }
    }

    @Nested
    class Lost {

        private final SoakEvent accepted = call(100, "POST", 200, "");

        @Test
        void acceptedJobDoesNotEnd() {
            assertEquals(List.of("LOST"), brokenRules(true, accepted));
        }

        @Test
        void acceptedJobEnds() {
            assertEquals(
                    List.of(), brokenRules(true, accepted, call(900, "GET", 200, "completed")));
        }

        @Test
        void cancelledJobNeedsNoEnd() {
            assertEquals(List.of(), brokenRules(true, accepted, call(900, "DELETE", 503, "")));
        }

        @Test
        void acceptedJobIsUnknownLater() {
            assertBroken("LOST", accepted, call(9_000, "GET", 410, ""));
        }

        @Test
        void acceptedJobIsUnknownAtFirst() {
            assertAllowed(accepted, call(2_000, "GET", 410, ""));
        }

        @Test
        void acceptedJobIsUnknownAtAnInstanceOutOfTouch() {
            assertAllowed(
                    accepted, new Disruption(7_000, 8_000, "n0"), call(9_000, "GET", 410, ""));
        }

        @Test
        void failsWithoutCause() {
            assertBroken("LOST", accepted, call(900, "GET", 200, "failed"));
        }

        @Test
        void noAnswerInCalmTime() {
            assertBroken("LOST", call(100, "GET", 0, ""));
        }

        @Test
        void noAnswerNearADisruptionOfTheStore() {
            assertAllowed(new Disruption(50, 90, "store"), call(100, "GET", 0, ""));
        }
    }

    @Nested
    class Unasked {

        @Test
        void nobodySubmittedTheJob() {
            assertBroken("UNASKED", new Began(100, "w1", "b.0.0.0", 1, "ms=1", 1, CALLER));
        }

        @Test
        void anotherSpec() {
            assertBroken("UNASKED", new Began(100, "w1", TASK, 1, "ms=1", 1, CALLER));
        }

        @Test
        void startLongAfterTheCancellingWasAcknowledged() {
            assertBroken("UNASKED", call(100, "DELETE", 200, ""), began(4_000, "w1", 0, 1));
        }

        @Test
        void startSoonAfterTheCancellingWasAcknowledged() {
            assertAllowed(call(100, "DELETE", 200, ""), began(3_000, "w1", 0, 1));
        }

        @Test
        void startThatWasHeldUpOnItsWay() {
            assertAllowed(
                    call(100, "DELETE", 200, ""),
                    new Disruption(500, 3_900, "w1"),
                    began(4_000, "w1", 0, 1));
        }
    }

    @Nested
    class Refused {

        @Test
        void everySubmissionWasRejected() {
            assertEquals(
                    List.of("REFUSED"),
                    brokenRules(
                            true,
                            call(100, "POST", 503, ""),
                            call(200, "POST", 429, ""),
                            began(300, "w1", 0, 1)));
        }

        @Test
        void oneSubmissionGotNoAnswer() {
            assertEquals(
                    List.of(),
                    brokenRules(
                            true,
                            new Disruption(50, 90, "n0"),
                            call(100, "POST", 0, ""),
                            call(200, "POST", 503, ""),
                            began(300, "w1", 0, 1)));
        }
    }

    @Nested
    class Gang {

        private final Ended alone = ended(9_000, "w1", 1, "alone");

        @Test
        void aloneInCalmTime() {
            assertBroken("GANG", began(6_000, "w1", 0, 1), alone);
        }

        @Test
        void aloneNearADisruption() {
            assertAllowed(began(6_000, "w1", 0, 1), new Disruption(5_000, 6_500, "w2"), alone);
        }

        @Test
        void aloneAfterTheJobsCancelling() {
            assertAllowed(began(6_000, "w1", 0, 1), call(7_000, "DELETE", 200, ""), alone);
        }
    }

    @Nested
    class Fence {

        @Test
        void twoCallersUseOneToken() {
            assertBroken(
                    "FENCE",
                    new Called(100, "w1", CALLER, 7),
                    new Called(131, "w2", OTHER_CALLER, 7));
        }

        @Test
        void eachCallerHasItsOwnToken() {
            assertAllowed(new Called(100, "w1", CALLER, 7), new Called(131, "w2", OTHER_CALLER, 8));
        }
    }

    @Nested
    class Untimed {

        @Test
        void boundsInTimeAreNotChecked() {
            assertEquals(
                    List.of(),
                    new SoakJudge(Map.of(ID, JOB), false)
                            .judge(List.of(call(100, "GET", 0, "")), true));
        }

        @Test
        void theOrderOfEventsIs() {
            assertEquals(
                    1,
                    new SoakJudge(Map.of(ID, JOB), false)
                            .judge(
                                    List.of(
                                            leased(1, "w1", FAR),
                                            began(100, "w1", 0, 1),
                                            began(200, "w2", 0, 2)),
                                    true)
                            .size());
        }
    }

    @Nested
    class Parsing {

        @Test
        void readsWhatWorkersPrint() {
            assertEquals(
                    List.of(
                            new Up(1, "w1"),
                            leased(2, "w1", 9),
                            new Began(3, "w1", TASK, 4, "ms=5 job=x", 6, CALLER),
                            ended(4, "w1", 4, "done"),
                            new Acknowledged(5, "w1", 1),
                            new Called(6, "w1", CALLER, 7)),
                    Arrays.stream(
                                    new String[] {
                                        "1|up|w1|77",
                                        "2|leased|w1|9",
                                        "3|began|w1|" + TASK + "|4|ms=5 job=x|6|" + CALLER,
                                        "4|ended|w1|" + TASK + "|4|done|1",
                                        "5|acknowledged|w1|1",
                                        "6|called|w1|" + CALLER + "|7"
                                    })
                            .map(line -> SoakEvent.parse(line.replace('|', '\t')))
                            .toList());
        }
    }
}
