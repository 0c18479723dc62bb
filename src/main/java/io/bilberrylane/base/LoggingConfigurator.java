package io.bilberrylane.base;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import net.logstash.logback.composite.loggingevent.ArgumentsJsonProvider;
import net.logstash.logback.composite.loggingevent.LogLevelJsonProvider;
import net.logstash.logback.composite.loggingevent.LoggerNameJsonProvider;
import net.logstash.logback.composite.loggingevent.LoggingEventFormattedTimestampJsonProvider;
import net.logstash.logback.composite.loggingevent.LoggingEventJsonProviders;
import net.logstash.logback.composite.loggingevent.MessageJsonProvider;
import net.logstash.logback.composite.loggingevent.StackTraceJsonProvider;
import net.logstash.logback.encoder.LoggingEventCompositeJsonEncoder;
import org.slf4j.LoggerFactory;

/**
 * Configures the log: JSON lines on standard output, written by another thread. The logging library
 * finds this class as a service. There is no configuration file, because parsing one would slow
 * down each start.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_TOP_PRIORITY)
public final class LoggingConfigurator extends ContextAwareBase implements Configurator {
    private static final int QUEUED_LINES = 2_048;
    private static final int MAX_FLUSH_MILLIS = 300;
    private static final int SOURCE_CHARS = 20;

    @Override
    public ExecutionStatus configure(final LoggerContext context) {
        final DroppingAppender queue = new DroppingAppender();
        final ConsoleAppender<ILoggingEvent> console =
                new BatchingConsoleAppender(queue::acceptedCount);
        console.setName("JSON");
        console.setContext(context);
        console.setEncoder(encoder(context));
        console.start();
        queue.setName("QUEUE");
        queue.setContext(context);
        queue.setQueueSize(QUEUED_LINES);
        queue.setMaxFlushTime(MAX_FLUSH_MILLIS);
        queue.addAppender(console);
        queue.start();
        final Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(queue);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Writes the lines that are queued and ends the log. For the end of the process. */
    public static void stop() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }

    /** Has a provider for each field that is written, and no others, because all run for a line. */
    private static LoggingEventCompositeJsonEncoder encoder(final LoggerContext context) {
        final LoggingEventFormattedTimestampJsonProvider time =
                new LoggingEventFormattedTimestampJsonProvider();
        time.setFieldName("at");
        final LoggerNameJsonProvider source = new LoggerNameJsonProvider();
        source.setFieldName("source");
        source.setShortenedLoggerNameLength(SOURCE_CHARS);
        final LoggingEventJsonProviders providers = new LoggingEventJsonProviders();
        providers.addTimestamp(time);
        providers.addMessage(new MessageJsonProvider());
        providers.addLoggerName(source);
        providers.addLogLevel(new LogLevelJsonProvider());
        providers.addStackTrace(new StackTraceJsonProvider());
        providers.addArguments(new ArgumentsJsonProvider());
        final LoggingEventCompositeJsonEncoder encoder = new LoggingEventCompositeJsonEncoder();
        encoder.setContext(context);
        encoder.setProviders(providers);
        encoder.start();
        return encoder;
    }
}
