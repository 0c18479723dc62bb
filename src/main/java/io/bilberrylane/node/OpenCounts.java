package io.bilberrylane.node;

/**
 * What a node counts while calls are in progress. All are zero when nothing is in progress.
 *
 * @param callerConnections connections of callers
 * @param exchanges requests of callers whose responses are not written
 * @param routedCalls calls at the ingress that have not ended
 * @param queuedCalls calls at the gate that wait for a slot, by the gate
 * @param waiting the same calls, by the admission
 * @param inService slots in use
 * @param runs runs in progress, by which repeated ones are recognised
 * @param unfinishedCalls calls in the table of outcomes that are reserved or started
 * @param connectionsInUse connections to the target that are counted and not idle
 */
record OpenCounts(
        int callerConnections,
        int exchanges,
        int routedCalls,
        int queuedCalls,
        int waiting,
        int inService,
        int runs,
        int unfinishedCalls,
        int connectionsInUse) {
    static final OpenCounts NONE = new OpenCounts(0, 0, 0, 0, 0, 0, 0, 0, 0);

    OpenCounts withoutCallers() {
        return new OpenCounts(
                0,
                exchanges,
                routedCalls,
                queuedCalls,
                waiting,
                inService,
                runs,
                unfinishedCalls,
                connectionsInUse);
    }
}
