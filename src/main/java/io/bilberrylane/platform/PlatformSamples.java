package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;

/** Valid messages of the platform, for a run that loads the classes that read them. */
public final class PlatformSamples {
    /** The kind of the object that holds the configuration. */
    public static final String CONFIGURATION_KIND = PlatformConfigurationFormat.KIND;

    /** The name of the object that holds the configuration. */
    public static final String CONFIGURATION_NAME = PlatformConfigurationFormat.NAME;

    private PlatformSamples() {}

    /**
     * Returns a configuration with one service and one route for each run rule.
     *
     * @param service the name of the service, and of the host of its routes
     * @return the JSON of the configuration
     */
    public static JsonNode configuration(final String service) {
        return ObjectJson.parse(
                String.format(
                        "{\"version\":1,\"services\":[{\"name\":\"%1$s\",\"healthPath\":\"/h\","
                                + "\"maxConnections\":9,\"coldStartS\":1,\"coldPerS\":5.0}],"
                                + "\"limits\":{\"maxHeaderBytes\":16384},"
                                + "\"virtualHosts\":[{\"host\":\"%1$s\",\"paths\":["
                                + "{\"pathPrefix\":\"/a/\",\"type\":\"safe\",\"timeoutS\":0.2,"
                                + "\"service\":\"%1$s\",\"attempts\":2},"
                                + "{\"pathPrefix\":\"/b/\",\"type\":\"unsafe\",\"timeoutS\":0.2,"
                                + "\"trafficSplit\":[{\"service\":\"%1$s\",\"weight\":1}]}]}]}",
                        service));
    }

    /**
     * Returns the path of a heartbeat.
     *
     * @param id the worker
     * @return the path on the node's target address
     */
    public static String heartbeatPath(final String id) {
        return HeartbeatEndpoint.HEARTBEAT_PATH + id;
    }

    /**
     * Returns a heartbeat of a worker that is ready.
     *
     * @param service the service that the worker serves
     * @param address the IP address and port of the worker
     * @return the JSON text
     */
    public static String heartbeat(final String service, final String address) {
        return String.format(
                "{\"address\":\"%s\",\"born\":1,\"info\":{\"service\":\"%s\",\"slots\":4},"
                        + "\"status\":{\"state\":\"ready\",\"seqNo\":1,\"coldRemainingS\":0}}",
                address, service);
    }
}
