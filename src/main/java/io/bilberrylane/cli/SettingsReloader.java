package io.bilberrylane.cli;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.FindingsException;
import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.node.NodeSettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Reloads the settings file on SIGHUP, and when its text changes without a signal. */
final class SettingsReloader {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long CHECK_INTERVAL_SECONDS = 2;

    private final Path mFile;
    private final Supplier<NodeSettings> mReader;
    private final Consumer<NodeSettings> mListener;
    private String mLastText;

    private SettingsReloader(
            final Path file,
            final Supplier<NodeSettings> reader,
            final Consumer<NodeSettings> listener) {
        mFile = file;
        mReader = reader;
        mListener = listener;
        mLastText = readText();
    }

    static void start(
            final Path file,
            final Supplier<NodeSettings> reader,
            final Consumer<NodeSettings> listener) {
        final SettingsReloader reloader = new SettingsReloader(file, reader, listener);
        final ScheduledExecutorService executor =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            final Thread thread = new Thread(task, "settings");
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.scheduleWithFixedDelay(
                GuardedTask.of("settings check", reloader::reloadIfChanged),
                CHECK_INTERVAL_SECONDS,
                CHECK_INTERVAL_SECONDS,
                TimeUnit.SECONDS);
        final GuardedTask reload = GuardedTask.of("settings reload", reloader::reload);
        HangUpSignal.setAction(() -> executor.execute(reload));
    }

    private void reloadIfChanged() {
        if (!readText().equals(mLastText)) {
            reload();
        }
    }

    private void reload() {
        mLastText = readText();
        try {
            mListener.accept(mReader.get());
            LOGGER.atInfo().log("settings reloaded from %s", mFile);
        } catch (FindingsException e) {
            e.findings()
                    .forEach(
                            finding ->
                                    LOGGER.atSevere().log(
                                            "settings rejected, the previous ones remain: %s",
                                            finding.line()));
        } catch (BilberrylaneException e) {
            LOGGER.atSevere().log(
                    "settings rejected, the previous ones remain: %s", e.getMessage());
        }
    }

    private String readText() {
        try {
            return Files.readString(mFile);
        } catch (IOException e) {
            LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "settings file cannot be read: %s", e);
            return mLastText == null ? "" : mLastText;
        }
    }
}
