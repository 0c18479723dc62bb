package io.bilberrylane.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** The format in which the platform stores the configuration. */
public interface ConfigurationFormat {
    /**
     * Returns the kind of the platform object that stores the catalogue.
     *
     * @return the kind
     */
    String kind();

    /**
     * Returns the name of the platform object that stores the catalogue.
     *
     * @return the name
     */
    String name();

    /**
     * Returns the kind of the objects that take a data centre out of service. Each object is named
     * after its data centre.
     *
     * @return the kind, or empty if only the catalogue takes data centres out of service
     */
    Optional<String> outageKind();

    /**
     * Returns the format of the objects that hold orders for roll-outs.
     *
     * @return the format
     */
    RolloutFormat rollouts();

    /**
     * Reads a document from a platform object.
     *
     * @param version the object's version
     * @param spec the object's {@code spec}
     * @return the document, whose text the nodes send to each other
     */
    ConfigurationDocument document(long version, JsonNode spec);

    /**
     * Reads and validates a document's text.
     *
     * @param place the name of the document, used in the places of findings
     * @param text the text
     * @return the catalogue and all findings
     */
    CatalogueCheck check(String place, String text);
}
