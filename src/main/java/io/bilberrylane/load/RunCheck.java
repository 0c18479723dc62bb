package io.bilberrylane.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Holds what callers saw against what targets saw. */
final class RunCheck {
    private final List<Violation> mViolations = new ArrayList<>();
    private final Map<String, Integer> mRunsByNonce = new HashMap<>();
    private final Map<String, Integer> mRunsByKey = new HashMap<>();
    private final Set<String> mFinishedKeys = new HashSet<>();

    /** Returns every violation; targets without a record are not held against callers. */
    static List<Violation> check(
            final List<CallResult> results, final Map<String, JsonNode> records) {
        final RunCheck check = new RunCheck();
        records.forEach(check::readRecord);
        results.forEach(check::checkAnswer);
        if (!records.isEmpty()) {
            check.checkKeys();
            results.forEach(check::checkRun);
        }
        return check.mViolations;
    }

    private void readRecord(final String target, final JsonNode record) {
        for (final String excess : List.of("slotExcess", "coldExcess", "connectionExcess")) {
            final long count = record.path(excess).asLong();
            if (count > 0) {
                mViolations.add(new Violation(excess, count + " times at " + target));
            }
        }
        for (final JsonNode run : record.path("runs")) {
            if (run.path("keyArrived").asBoolean()) {
                mViolations.add(
                        new Violation("key-at-target", run.path("nonce").asText() + " " + target));
            }
            mRunsByNonce.merge(run.path("nonce").asText(), 1, Integer::sum);
            final String key = run.path("key").asText();
            if (!key.isEmpty()) {
                mRunsByKey.merge(key, 1, Integer::sum);
                if (run.path("finished").asBoolean()) {
                    mFinishedKeys.add(key);
                }
            }
        }
    }

    private void checkAnswer(final CallResult result) {
        if (!result.call().organisationKey().isEmpty()
                && result.errorCode().equals("unknown-key")) {
            mViolations.add(new Violation("refused-key", result.call().nonce()));
        }
        if (!result.isSuccess()) {
            return;
        }
        final String nonce = result.call().nonce();
        if (!result.replayed() && !result.answerNonce().equals(nonce)) {
            mViolations.add(
                    new Violation("foreign-answer", nonce + " got " + result.answerNonce()));
        }
        if (!result.whole()) {
            mViolations.add(new Violation("partial-answer", nonce));
        }
        if (result.call().bodyBytes() > 0
                && !result.replayed()
                && result.targetBodyBytes() != result.call().bodyBytes()) {
            mViolations.add(
                    new Violation(
                            "partial-body",
                            nonce + ": " + result.targetBodyBytes() + " bytes arrived"));
        }
    }

    private void checkKeys() {
        mRunsByKey.forEach(
                (key, runs) -> {
                    if (runs > 1) {
                        mViolations.add(new Violation("doubled-run", key + " ran " + runs));
                    }
                });
    }

    private void checkRun(final CallResult result) {
        final PlannedCall call = result.call();
        if (result.isNotRun() && mRunsByNonce.containsKey(call.nonce())) {
            mViolations.add(
                    new Violation("false-not-run", call.nonce() + " " + result.errorCode()));
        }
        if (result.isSuccess() && call.operation().isKeyed()) {
            if (!mFinishedKeys.contains(call.key())) {
                mViolations.add(new Violation("lost-work", call.key()));
            }
        }
    }
}
