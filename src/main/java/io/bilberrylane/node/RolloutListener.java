package io.bilberrylane.node;

import io.bilberrylane.platform.ObjectEvent;
import io.bilberrylane.platform.ObjectJson;
import io.bilberrylane.platform.StoredObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Passes the orders for roll-outs that the platform holds to the configuration of the node. */
final class RolloutListener implements KindWatch.Listener {
    private final ConfigurationService mConfiguration;
    private final MembershipService mMembership;
    private final Map<String, String> mObjects = new TreeMap<>();

    RolloutListener(final ConfigurationService configuration, final MembershipService membership) {
        mConfiguration = configuration;
        mMembership = membership;
    }

    @Override
    public boolean isKnown() {
        return mConfiguration.version().rollouts() > 0;
    }

    @Override
    public void onList(final long version, final List<StoredObject> objects) {
        mObjects.clear();
        objects.forEach(object -> mObjects.put(object.name(), text(object)));
        // The store of a platform that holds nothing yet may have the version 0.
        apply(Math.max(1, version));
    }

    @Override
    public void onEvents(final long version, final List<ObjectEvent> events) {
        for (final ObjectEvent event : events) {
            if (event.deleted()) {
                mObjects.remove(event.object().name());
            } else {
                mObjects.put(event.object().name(), text(event.object()));
            }
        }
        if (!events.isEmpty()) {
            apply(version);
        }
    }

    @Override
    public boolean differs(final List<StoredObject> objects) {
        final Map<String, String> listed = new TreeMap<>();
        objects.forEach(object -> listed.put(object.name(), text(object)));
        return !listed.equals(mObjects);
    }

    private void apply(final long version) {
        if (mConfiguration.applyRolloutsIfNewer(version, new ArrayList<>(mObjects.values()))) {
            mMembership.announceConfiguration();
        }
    }

    private static String text(final StoredObject object) {
        return ObjectJson.write(object).toString();
    }
}
