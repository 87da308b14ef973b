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

/** What may be done with a query, by hand and against a plain model under random calls. */
class QueryLifecycleTest {
    private static final SendFacts FINE = new SendFacts(100, 200, Long.MAX_VALUE, true, true);

    private static ResourceGroup group(Effect effect, Recognised recognised) {
        return new ResourceGroup(10_000, 2, 1, 0, 1, effect, recognised, 50_000, false, null, null);
    }

    private static QueryLifecycle query(Effect effect) {
        return new QueryLifecycle(group(effect, Recognised.ALL), 3);
    }

    @Example
    void eachFactThatForbidsASendIsItsReason() {
        QueryLifecycle query = query(Effect.READ_ONLY);
        assertEquals(Verdict.ALLOWED, query.startAttempt());
        assertEquals(Verdict.CLIENT_GONE, query.send(new SendFacts(100, 200, 300, false, true)));
        assertEquals(Verdict.DEADLINE_PASSED, query.send(new SendFacts(200, 200, 300, true, true)));
        assertEquals(Verdict.REPEAT_FORGOTTEN, query.send(new SendFacts(100, 200, 99, true, true)));
        assertEquals(Verdict.ENGINE_NOT_READY, query.send(new SendFacts(100, 200, 300, true, false)));
        assertEquals(Verdict.ALLOWED, query.send(FINE));
        query.clientLeft();
        assertEquals(Verdict.QUERY_OVER, query.send(FINE));
    }

    @Example
    void oneAttemptAtATimeAndNoMoreThanAllowed() {
        QueryLifecycle query = query(Effect.READ_ONLY);
        for (int k = 0; k < 3; k++) {
            assertEquals(Verdict.ALLOWED, query.startAttempt());
            assertEquals(Verdict.ATTEMPT_OUT, query.startAttempt());
            query.attemptEnded(true);
        }
        assertEquals(Verdict.ATTEMPTS_USED_UP, query.startAttempt());
    }

    /** One that was withheld, refused or turned away proves that nothing ran. */
    @Example
    void aChangeIsRepeatedAndDeferredOnlyWhileNothingCanHaveRun() {
        QueryLifecycle query = query(Effect.MUTATING);
        query.startAttempt();
        assertEquals(Answer.DEFERRED, query.answerIfGivenUp());
        query.attemptEnded(false);
        assertEquals(Verdict.ALLOWED, query.startAttempt(), "nothing of the first was sent");
        query.send(FINE);
        assertEquals(Answer.FAILED, query.answerIfGivenUp());
        query.attemptEnded(false);
        assertEquals(Verdict.UNSAFE_REPEAT, query.startAttempt());
        assertEquals(Verdict.UNSAFE_DEFERRAL, query.answer(Answer.DEFERRED));
        assertEquals(Verdict.ALLOWED, query.answer(Answer.FAILED));
        assertEquals(Verdict.SECOND_ANSWER, query.answer(Answer.SERVED));
        assertTrue(query.over());
    }

    /** Whatever is asked of it in whatever order: no two answers, no two attempts, no effect twice. */
    @Property(tries = 300, seed = "1")
    void noOrderOfCallsBreaksARule(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Effect effect = Effect.values()[chance.nextInt(3)];
        Recognised recognised = Recognised.values()[chance.nextInt(3)];
        QueryLifecycle query = new QueryLifecycle(group(effect, recognised), 1 + chance.nextInt(4));
        boolean out = false;
        boolean sent = false;
        boolean ran = false;
        int answers = 0;
        for (int k = 0; k < 40; k++) {
            switch (chance.nextInt(4)) {
                case 0 -> {
                    if (query.startAttempt().allowed()) {
                        assertFalse(out, "two attempts at once");
                        assertFalse(ran && effect == Effect.MUTATING, "an effect twice");
                        assertEquals(0, answers, "an attempt after the answer");
                        out = true;
                        sent = false;
                    }
                }
                case 1 -> {
                    SendFacts facts = new SendFacts(100, 95 + chance.nextInt(10), 95 + chance.nextInt(10),
                            chance.nextInt(4) > 0, chance.nextInt(4) > 0);
                    if (out && !sent && query.send(facts).allowed()) {
                        assertTrue(facts.clientPresent() && facts.engineReady()
                                && facts.now() < facts.deadline()
                                && facts.now() <= facts.lastStart() && answers == 0, facts::toString);
                        sent = true;
                    }
                }
                case 2 -> {
                    boolean neverRan = chance.nextBoolean();
                    query.attemptEnded(neverRan);
                    ran |= out && sent && !neverRan;
                    out = false;
                    sent = false;
                }
                default -> {
                    Answer answer = Answer.values()[chance.nextInt(3)];
                    boolean safe = effect == Effect.READ_ONLY || !ran && !(out && sent)
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
