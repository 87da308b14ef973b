package reedspring.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import reedspring.api.Deployment.Effect;
import reedspring.api.Deployment.Recognised;
import reedspring.api.Deployment.ResourceGroup;
import reedspring.core.policy.QueryLifecycle.Answer;
import reedspring.core.policy.QueryLifecycle.SendFacts;
import reedspring.core.policy.QueryLifecycle.Verdict;

/** Checks the verdicts by examples and, for random calls, against a simple model. */
class QueryLifecycleTest {
    private static final SendFacts SENDABLE = new SendFacts(100, 200, Long.MAX_VALUE, true, true);

    private static ResourceGroup group(Effect effect, Recognised recognised) {
        return new ResourceGroup(10_000, 2, 1, 0, 1, effect, recognised, 50_000, false, null, null);
    }

    private static QueryLifecycle query(Effect effect) {
        return new QueryLifecycle(group(effect, Recognised.ALL), 3);
    }

    @Example
    void eachFactThatForbidsSendingIsTheVerdict() {
        QueryLifecycle query = query(Effect.READ_ONLY);
        assertEquals(Verdict.ALLOWED, query.startSubmission());
        assertEquals(Verdict.CLIENT_GONE, query.send(new SendFacts(100, 200, 300, false, true)));
        assertEquals(Verdict.DEADLINE_PASSED, query.send(new SendFacts(200, 200, 300, true, true)));
        assertEquals(Verdict.REPEAT_FORGOTTEN, query.send(new SendFacts(100, 200, 99, true, true)));
        assertEquals(Verdict.ENGINE_NOT_READY, query.send(new SendFacts(100, 200, 300, true, false)));
        assertEquals(Verdict.ALLOWED, query.send(SENDABLE));
        query.clientLeft();
        assertEquals(Verdict.QUERY_OVER, query.send(SENDABLE));
    }

    @Example
    void submissionsAreSequentialAndLimited() {
        QueryLifecycle query = query(Effect.READ_ONLY);
        for (int k = 0; k < 3; k++) {
            assertEquals(Verdict.ALLOWED, query.startSubmission());
            assertEquals(Verdict.ATTEMPT_OUT, query.startSubmission());
            query.submissionEnded(true);
        }
        assertEquals(Verdict.ATTEMPTS_USED_UP, query.startSubmission());
    }

    /** A submission that was withheld or refused proves that nothing ran. */
    @Example
    void aMutatingQueryIsRepeatedOrDeferredOnlyIfItCanNotHaveRun() {
        QueryLifecycle query = query(Effect.MUTATING);
        query.startSubmission();
        assertEquals(Answer.DEFERRED, query.answerIfGivenUp());
        query.submissionEnded(false);
        assertEquals(Verdict.ALLOWED, query.startSubmission(), "the first was not sent");
        query.send(SENDABLE);
        assertEquals(Answer.FAILED, query.answerIfGivenUp());
        query.submissionEnded(false);
        assertEquals(Verdict.UNSAFE_REPEAT, query.startSubmission());
        assertEquals(Verdict.UNSAFE_DEFERRAL, query.answer(Answer.DEFERRED));
        assertEquals(Verdict.ALLOWED, query.answer(Answer.FAILED));
        assertEquals(Verdict.SECOND_ANSWER, query.answer(Answer.SERVED));
        assertTrue(query.over());
    }

    /** In any order of calls: no second answer, no concurrent submissions, no effect twice. */
    @Property(tries = 300, seed = "1")
    void randomCallsBreakNoRule(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Effect effect = Effect.values()[random.nextInt(3)];
        Recognised recognised = Recognised.values()[random.nextInt(3)];
        QueryLifecycle query = new QueryLifecycle(group(effect, recognised), 1 + random.nextInt(4));
        boolean outstanding = false;
        boolean sent = false;
        boolean mayHaveRun = false;
        int answers = 0;
        for (int k = 0; k < 40; k++) {
            switch (random.nextInt(4)) {
                case 0 -> {
                    if (query.startSubmission().allowed()) {
                        assertFalse(outstanding, "two submissions at once");
                        assertFalse(mayHaveRun && effect == Effect.MUTATING, "an effect twice");
                        assertEquals(0, answers, "a submission after the answer");
                        outstanding = true;
                        sent = false;
                    }
                }
                case 1 -> {
                    SendFacts facts = new SendFacts(100, 95 + random.nextInt(10), 95 + random.nextInt(10),
                            random.nextInt(4) > 0, random.nextInt(4) > 0);
                    if (outstanding && !sent && query.send(facts).allowed()) {
                        assertTrue(facts.clientPresent() && facts.engineReady()
                                && facts.now() < facts.deadline()
                                && facts.now() <= facts.lastStart() && answers == 0, facts::toString);
                        sent = true;
                    }
                }
                case 2 -> {
                    boolean neverRan = random.nextBoolean();
                    query.submissionEnded(neverRan);
                    mayHaveRun |= outstanding && sent && !neverRan;
                    outstanding = false;
                    sent = false;
                }
                default -> {
                    Answer answer = Answer.values()[random.nextInt(3)];
                    boolean safe = effect == Effect.READ_ONLY || !mayHaveRun && !(outstanding && sent)
                            || effect == Effect.TOKENED && recognised == Recognised.ALL;
                    if (query.answer(answer).allowed()) {
                        assertTrue(answer != Answer.DEFERRED || safe, "an unsafe deferral");
                        answers++;
                    }
                }
            }
            assertTrue(answers <= 1);
        }
    }
}
