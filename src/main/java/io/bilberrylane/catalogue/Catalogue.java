package io.bilberrylane.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A validated catalogue: service entries by name, routes by host and path prefix, and the data
 * centres and targets that are out of service. Immutable.
 */
public final class Catalogue {
    private static final Catalogue EMPTY = builder().build();

    private final Map<String, ServiceEntry> mEntriesByService;
    private final List<Route> mRoutes;
    private final List<UnusableRoute> mUnusableRoutes;
    private final boolean mRoutesServiceNames;
    private final RouteTable mRouteTable;
    private final CallerLimits mCallerLimits;
    private final Set<String> mDataCentresOut;
    private final Set<String> mTargetsOut;
    private final List<Organisation> mOrganisations;
    private final boolean mRequiresKeys;
    private final Map<KeyDigest, Organisation> mOrganisationsByDigest = new HashMap<>();
    private final FairShares mFairShares;

    private Catalogue(
            final Map<String, ServiceEntry> entries,
            final List<Route> routes,
            final List<UnusableRoute> unusableRoutes,
            final boolean routesServiceNames,
            final CallerLimits callerLimits,
            final Set<String> dataCentresOut,
            final Set<String> targetsOut,
            final List<Organisation> organisations,
            final boolean requiresKeys) {
        mEntriesByService = entries;
        mRoutes = routes;
        mUnusableRoutes = unusableRoutes;
        mRoutesServiceNames = routesServiceNames;
        mRouteTable =
                RouteTable.of(
                        routesServiceNames
                                ? ServiceNameRoutes.addTo(routes, entries.values())
                                : routes,
                        unusableRoutes);
        mCallerLimits = callerLimits;
        mDataCentresOut = Set.copyOf(dataCentresOut);
        mTargetsOut = Set.copyOf(targetsOut);
        mOrganisations = List.copyOf(organisations);
        mRequiresKeys = requiresKeys || !mOrganisations.isEmpty();
        mFairShares = FairShares.of(mOrganisations);
        for (final Organisation organisation : mOrganisations) {
            organisation
                    .keyDigests()
                    .forEach(digest -> mOrganisationsByDigest.put(digest, organisation));
        }
    }

    /**
     * Returns a builder without entries.
     *
     * @return an empty builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a catalogue. */
    public static final class Builder {
        private final Map<String, ServiceEntry> mEntries = new LinkedHashMap<>();
        private final List<Route> mRoutes = new ArrayList<>();
        private final List<UnusableRoute> mUnusableRoutes = new ArrayList<>();
        private boolean mRoutesServiceNames;
        private CallerLimits mCallerLimits = CallerLimits.DEFAULT;
        private Set<String> mDataCentresOut = Set.of();
        private Set<String> mTargetsOut = Set.of();
        private final List<Organisation> mOrganisations = new ArrayList<>();
        private boolean mRequiresKeys;

        private Builder() {}

        /**
         * Adds an entry.
         *
         * @param entry the entry, whose name and hosts are not in the catalogue yet
         * @return this builder
         */
        public Builder entry(final ServiceEntry entry) {
            mEntries.put(entry.service(), entry);
            return this;
        }

        /**
         * Adds a route.
         *
         * @param route the route
         * @return this builder
         */
        public Builder route(final Route route) {
            mRoutes.add(route);
            return this;
        }

        /**
         * Adds a route that cannot be understood. Its requests are refused, rather than sent to the
         * route with the next shorter prefix.
         *
         * @param route the host and the path prefix of the route
         * @return this builder
         */
        public Builder unusableRoute(final UnusableRoute route) {
            mUnusableRoutes.add(route);
            return this;
        }

        /**
         * Routes the name and the hosts of each entry to its service, without listed routes.
         *
         * @return this builder
         */
        public Builder routeServiceNames() {
            mRoutesServiceNames = true;
            return this;
        }

        /**
         * Sets the limits on callers' requests.
         *
         * @param limits the limits
         * @return this builder
         */
        public Builder callerLimits(final CallerLimits limits) {
            mCallerLimits = limits;
            return this;
        }

        /**
         * Sets the data centres and targets that are out of service.
         *
         * @param dataCentres the data centres that receive no new calls
         * @param targets the hosts whose targets receive no new calls
         * @return this builder
         */
        public Builder outOfService(final Set<String> dataCentres, final Set<String> targets) {
            mDataCentresOut = dataCentres;
            mTargetsOut = targets;
            return this;
        }

        /**
         * Adds an organisation.
         *
         * @param organisation the organisation, none of whose keys is in the catalogue yet
         * @return this builder
         */
        public Builder organisation(final Organisation organisation) {
            mOrganisations.add(organisation);
            return this;
        }

        /**
         * Requires keys although no organisation may have been understood, so that an error in the
         * only one opens nothing.
         *
         * @return this builder
         */
        public Builder requireKeys() {
            mRequiresKeys = true;
            return this;
        }

        /**
         * Returns the catalogue.
         *
         * @return a catalogue with everything added so far
         */
        public Catalogue build() {
            return new Catalogue(
                    Map.copyOf(mEntries),
                    List.copyOf(mRoutes),
                    List.copyOf(mUnusableRoutes),
                    mRoutesServiceNames,
                    mCallerLimits,
                    mDataCentresOut,
                    mTargetsOut,
                    mOrganisations,
                    mRequiresKeys);
        }
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
     * Returns a copy of the catalogue with further data centres out of service.
     *
     * @param dataCentres the data centres that receive no new calls, in addition to those of this
     *     catalogue
     * @return the copy
     */
    public Catalogue withDataCentresOut(final Set<String> dataCentres) {
        final Set<String> all = new HashSet<>(mDataCentresOut);
        all.addAll(dataCentres);
        return new Catalogue(
                mEntriesByService,
                mRoutes,
                mUnusableRoutes,
                mRoutesServiceNames,
                mCallerLimits,
                all,
                mTargetsOut,
                mOrganisations,
                mRequiresKeys);
    }

    // -- queries

    /**
     * Returns the entry of a service.
     *
     * @param service the service's name
     * @return the entry, or empty if the catalogue has none
     */
    public Optional<ServiceEntry> service(final String service) {
        return Optional.ofNullable(mEntriesByService.get(service));
    }

    /**
     * Returns the route for a caller's request.
     *
     * @param host the value of the Host header, with or without a port
     * @param path the request path, without the query
     * @return the route with the longest matching path prefix, or that there is none
     */
    public RouteMatch match(final String host, final String path) {
        final int colon = host.lastIndexOf(':');
        final String hostName = colon < 0 ? host : host.substring(0, colon);
        return mRouteTable.match(hostName.toLowerCase(Locale.ROOT), path);
    }

    /**
     * Returns the usable route for a caller's request.
     *
     * @param host the value of the Host header, with or without a port
     * @param path the request path, without the query
     * @return the route with the longest matching path prefix, or empty if there is none or it
     *     cannot be used
     */
    public Optional<Route> route(final String host, final String path) {
        return match(host, path) instanceof RouteMatch.Found found
                ? Optional.of(found.route())
                : Optional.empty();
    }

    /**
     * Returns whether the catalogue has a route besides the default ones of its entries.
     *
     * @return true if at least one usable route is listed
     */
    public boolean hasRoutes() {
        return !mRoutes.isEmpty();
    }

    /**
     * Returns the limits on callers' requests.
     *
     * @return the limits
     */
    public CallerLimits callerLimits() {
        return mCallerLimits;
    }

    /**
     * Returns whether callers of routes that are not public need a key.
     *
     * @return true if the configuration lists an organisation, even one that was not understood
     */
    public boolean requiresKeys() {
        return mRequiresKeys;
    }

    /**
     * Returns the organisations whose callers need a key.
     *
     * @return the organisations that were understood
     */
    public List<Organisation> organisations() {
        return mOrganisations;
    }

    /**
     * Returns the organisation that holds a key. The map compares digests in constant time.
     *
     * @param digest the digest of the key
     * @return the organisation, or empty if none holds the key
     */
    public Optional<Organisation> organisationOf(final KeyDigest digest) {
        return Optional.ofNullable(mOrganisationsByDigest.get(digest));
    }

    /**
     * Returns whether calls that compete for the capacity of a service go by what their delay costs
     * callers.
     *
     * @param service the service's name
     * @return true if the catalogue has organisations or the entry of the service says so
     */
    public boolean ordersByCost(final String service) {
        return !mOrganisations.isEmpty()
                || service(service).map(ServiceEntry::overloadByCost).orElse(false);
    }

    /**
     * Returns whether calls of any service go by what their delay costs callers.
     *
     * @return true if {@link #ordersByCost} holds for a service
     */
    public boolean ordersAnyByCost() {
        return !mOrganisations.isEmpty()
                || mEntriesByService.values().stream().anyMatch(ServiceEntry::overloadByCost);
    }

    /**
     * Returns the shares of capacity to which organisations are entitled.
     *
     * @return the shares
     */
    public FairShares fairShares() {
        return mFairShares;
    }

    /**
     * Returns the names of all services.
     *
     * @return the names, in no particular order
     */
    public Set<String> services() {
        return Set.copyOf(mEntriesByService.keySet());
    }

    /**
     * Returns whether a target may receive new calls.
     *
     * @param host the target's host
     * @param dataCentre the target's data centre
     * @return false if its host or its data centre is out of service
     */
    public boolean isInService(final String host, final String dataCentre) {
        return !mDataCentresOut.contains(dataCentre) && !mTargetsOut.contains(host);
    }

    /**
     * Returns the data centres that are out of service.
     *
     * @return the names, in no particular order
     */
    public Set<String> dataCentresOut() {
        return mDataCentresOut;
    }

    /**
     * Returns the hosts whose targets are out of service.
     *
     * @return the names, in no particular order
     */
    public Set<String> targetsOut() {
        return mTargetsOut;
    }
}
