package io.bilberrylane.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;

final class HangUpSignalTest {
    // Guards against: a SIGHUP in the first moments of a node ends its process.
    @Test
    void shouldTakeEffectLaterWhenItArrivesBeforeTheSettingsCanBeReloaded() throws Exception {
        final Semaphore reloads = new Semaphore(0);
        HangUpSignal.capture();
        Signal.raise(new Signal("HUP"));
        TimeUnit.MILLISECONDS.sleep(200);
        HangUpSignal.setAction(reloads::release);
        assertThat(reloads.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
        Signal.raise(new Signal("HUP"));
        assertThat(reloads.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
        assertThat(reloads.tryAcquire(100, TimeUnit.MILLISECONDS)).isFalse();
    }
}
