package io.bilberrylane.catalogue;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A checked catalogue: entries by name and by host, and what is taken out of service. */
public final class Catalogue {
    private static final Catalogue EMPTY = new Catalogue(List.of(), Set.of(), Set.of());

    private final Map<String, ServiceEntry> mByService = new HashMap<>();
    private final Map<String, ServiceEntry> mByHost = new HashMap<>();
    private final Set<String> mDataCentresOut;
    private final Set<String> mTargetsOut;

    private Catalogue(
            final List<ServiceEntry> entries,
            final Set<String> dataCentresOut,
            final Set<String> targetsOut) {
        for (final ServiceEntry entry : entries) {
            mByService.put(entry.service(), entry);
            mByHost.put(entry.service().toLowerCase(Locale.ROOT), entry);
            entry.hosts().forEach(host -> mByHost.put(host.toLowerCase(Locale.ROOT), entry));
        }
        mDataCentresOut = Set.copyOf(dataCentresOut);
        mTargetsOut = Set.copyOf(targetsOut);
    }

    /**
     * Returns a catalogue without entries.
     *
     * @return the empty catalogue
     */
    public static Catalogue empty() {
        return EMPTY;
    }

    /**
     * Returns a catalogue.
     *
     * @param entries the entries, with distinct names and hosts
     * @param dataCentresOut data centres that get no new work
     * @param targetsOut hosts whose targets get no new work
     * @return the catalogue
     */
    public static Catalogue of(
            final List<ServiceEntry> entries,
            final Set<String> dataCentresOut,
            final Set<String> targetsOut) {
        return new Catalogue(entries, dataCentresOut, targetsOut);
    }

    // -- queries

    /**
     * Returns the entry of a name.
     *
     * @param service the name
     * @return the entry, if there is one
     */
    public Optional<ServiceEntry> service(final String service) {
        return Optional.ofNullable(mByService.get(service));
    }

    /**
     * Returns the entry that a caller's request belongs to.
     *
     * @param host the value of the Host header, with or without a port
     * @return the entry, if there is one
     */
    public Optional<ServiceEntry> forHost(final String host) {
        final int colon = host.lastIndexOf(':');
        final String name = colon < 0 ? host : host.substring(0, colon);
        return Optional.ofNullable(mByHost.get(name.toLowerCase(Locale.ROOT)));
    }

    /**
     * Returns the names of all entries.
     *
     * @return names in no order
     */
    public Set<String> services() {
        return Set.copyOf(mByService.keySet());
    }

    /**
     * Returns whether a target may get new work.
     *
     * @param host the target's host
     * @param dataCentre the target's data centre
     * @return false when either is taken out
     */
    public boolean isInService(final String host, final String dataCentre) {
        return !mDataCentresOut.contains(dataCentre) && !mTargetsOut.contains(host);
    }

    /**
     * Returns the data centres that are taken out.
     *
     * @return names in no order
     */
    public Set<String> dataCentresOut() {
        return mDataCentresOut;
    }

    /**
     * Returns the hosts whose targets are taken out.
     *
     * @return names in no order
     */
    public Set<String> targetsOut() {
        return mTargetsOut;
    }
}
