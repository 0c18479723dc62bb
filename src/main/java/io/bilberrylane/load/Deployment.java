package io.bilberrylane.load;

import java.util.List;
import java.util.Optional;

/** The users whose mixes can be played. */
public enum Deployment {
    /** Castor makers: specifications, certifications and test footage. */
    CASTOR(
            List.of(
                    new Operation(
                            Operation.Kind.LOOKUP,
                            "specification-registry",
                            "GET",
                            "/specifications/k7",
                            800),
                    new Operation(
                            Operation.Kind.LOOKUP,
                            "certification-desk",
                            "GET",
                            "/certificates/c1",
                            90),
                    new Operation(
                            Operation.Kind.REGISTRATION,
                            "certification-desk",
                            "POST",
                            "/registrations",
                            100),
                    new Operation(Operation.Kind.UPLOAD, "test-archive", "POST", "/footage", 10))),
    /** Debt advisers: slots, bookings and papers. */
    PADANA(
            List.of(
                    new Operation(Operation.Kind.LOOKUP, "calendar", "GET", "/slots", 800),
                    new Operation(
                            Operation.Kind.REGISTRATION,
                            "booking-ledger",
                            "POST",
                            "/bookings",
                            180),
                    new Operation(Operation.Kind.UPLOAD, "case-files", "POST", "/papers", 20)));

    private final List<Operation> mOperations;

    Deployment(final List<Operation> operations) {
        mOperations = operations;
    }

    /**
     * Returns the mix.
     *
     * @return operations with their weights
     */
    public List<Operation> operations() {
        return mOperations;
    }

    /**
     * Returns the deployment of a name.
     *
     * @param name in lower case
     * @return the deployment, or nothing when the name is unknown
     */
    public static Optional<Deployment> ofName(final String name) {
        for (final Deployment value : values()) {
            if (value.name().toLowerCase(java.util.Locale.ROOT).equals(name)) {
                return Optional.of(value);
            }
        }
        return Optional.empty();
    }
}
