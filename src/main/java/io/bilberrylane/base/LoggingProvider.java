package io.bilberrylane.base;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LogbackServiceProvider;

/**
 * Starts the logging library with the configuration of {@link LoggingConfigurator}, without the
 * library's search for configurators and configuration files.
 */
public final class LoggingProvider extends LogbackServiceProvider {
    private static final String PROVIDER_PROPERTY = "slf4j.provider";
    private static final String VERBOSITY_PROPERTY = "slf4j.internal.verbosity";
    private static final String CONTEXT_NAME = "default";

    /** Makes this the provider of this process. To be called before the first logger exists. */
    public static void install() {
        System.setProperty(PROVIDER_PROPERTY, LoggingProvider.class.getName());
        // Otherwise the logging library reports the use of the property on standard error.
        System.setProperty(VERBOSITY_PROPERTY, "WARN");
    }

    @Override
    public void initialize() {
        final LoggerContext context = (LoggerContext) getLoggerFactory();
        context.setName(CONTEXT_NAME);
        context.setMDCAdapter(getMDCAdapter());
        new LoggingConfigurator().configure(context);
        context.start();
    }
}
