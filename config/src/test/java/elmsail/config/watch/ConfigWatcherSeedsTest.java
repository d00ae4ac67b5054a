package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItems;

import elmsail.runtime.Settings;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The seed addresses in the settings file change while the process runs. */
class ConfigWatcherSeedsTest extends ConfigWatcherTestBase {
  private static final String D = "10.4.0.40:7721";
  private static final String E = "10.4.0.41:7721";

  static Settings settingsWithChangedSeeds() {
    Settings before = settings(Set.of("counter"));
    return new Settings(
        before.machine(),
        before.role(),
        before.machineClass(),
        before.services(),
        before.ip(),
        before.zone(),
        before.region(),
        Map.of(),
        Map.of(),
        7720,
        7735,
        List.of("10.4.0.40:8166", "10.4.0.41:8166"),
        false,
        true,
        null,
        null,
        Set.of(),
        1,
        null,
        null);
  }

  @Test
  void watchesChangedSeedsOnceNoOtherNodeResponds() {
    watcher.start();
    timers.advance(500);
    List.of(A, B, C).forEach(network.controlPlanes::remove);
    WatchServer d = network.controlPlane(D);
    network.controlPlane(E);
    d.setConfig(8, config(8));
    watcher.onSettingsChanged(settingsWithChangedSeeds());
    timers.advance(12_000);
    assertThat(watcher.upstreams(), hasItems(D, E));
    assertThat(watcher.config().version(), equalTo(8L));
  }
}
