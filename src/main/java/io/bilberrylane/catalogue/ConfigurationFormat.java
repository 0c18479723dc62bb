package io.bilberrylane.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** How the configuration stands in the platform. */
public interface ConfigurationFormat {
    /**
     * Returns the kind of the object that holds the catalogue.
     *
     * @return a kind
     */
    String kind();

    /**
     * Returns the name of the object that holds the catalogue.
     *
     * @return a name
     */
    String name();

    /**
     * Returns the kind of the objects that take a data centre out, each named after one.
     *
     * @return a kind, or nothing when only the catalogue does
     */
    Optional<String> outageKind();

    /**
     * Returns the document of an object's value.
     *
     * @param version the object's version
     * @param spec the object's value
     * @return the document; its text is what nodes pass on to each other
     */
    ConfigurationDocument document(long version, JsonNode spec);

    /**
     * Returns what a document's text holds and everything that is wrong with it.
     *
     * @param place names the document in findings
     * @param text the text
     * @return the catalogue with its findings
     */
    CatalogueCheck check(String place, String text);
}
