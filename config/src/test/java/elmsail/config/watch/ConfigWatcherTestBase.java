package elmsail.config.watch;

import elmsail.config.SampleConfigs;
import elmsail.config.ServerEntry;
import elmsail.config.ServerListCodec;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;

/**
 * Base class of tests of {@link ConfigWatcher}: a watcher, three control-plane nodes, a network
 * that tests can partition, and a manual clock.
 */
abstract class ConfigWatcherTestBase {
  static final String A = "10.1.0.13:7721";
  static final String B = "10.2.0.30:7721";
  static final String C = "10.3.0.36:7721";

  final ManualTimers timers = new ManualTimers();
  final FakeNetwork network = new FakeNetwork(timers);
  final WatchServer a = network.controlPlane(A);
  final WatchServer b = network.controlPlane(B);
  final WatchServer c = network.controlPlane(C);
  final ConfigWatcher watcher =
      watcher(PeerRole.GATEWAY, Set.of("counter"), () -> StoreStatus.NONE);
  int changeCount;

  static Settings settings(Set<String> serves) {
    return settings(serves, null);
  }

  static Settings settings(Set<String> serves, Settings.Bounds bounds) {
    return new Settings(
        "counter-x-1",
        "r",
        "counter",
        serves,
        "10.1.0.13",
        "x",
        "u",
        Map.of(),
        Map.of(),
        7720,
        7735,
        List.of("10.1.0.13:8166", "10.2.0.30:8166", "10.3.0.36:8166"),
        true,
        true,
        null,
        null,
        Set.of(),
        1,
        bounds,
        new Settings.Platform("10.200.0.79:8169", 40, 800));
  }

  ConfigWatcher watcher(PeerRole role, Set<String> serves, Supplier<StoreStatus> store) {
    return new ConfigWatcher(network, timers, settings(serves), role, 77, store, null);
  }

  /** A gateway's watcher with a bound of {@code revokeMs} for the revocation of keys. */
  ConfigWatcher watcherWithRevocation(long revokeMs) {
    Settings.Bounds bounds =
        new Settings.Bounds(
            4_000, 5_000, 6_000, 4_000, 8_000, 200, 2_500, 200, 120_000, 3_000, 1_000, 0.1, 2_000,
            revokeMs, 5_000, 10_000, 3_000);
    return new ConfigWatcher(
        network,
        timers,
        settings(Set.of("counter"), bounds),
        PeerRole.GATEWAY,
        77,
        () -> StoreStatus.NONE,
        null);
  }

  @BeforeEach
  void countChanges() {
    watcher.addListener(() -> changeCount++);
  }

  static byte[] config(long edition) {
    return SampleConfigs.bytes(SampleConfigs.config(edition));
  }

  static byte[] encodedList(String... ids) {
    List<ServerEntry> servers = new ArrayList<>();
    for (String id : ids) {
      servers.add(SampleConfigs.server(id));
    }
    return ServerListCodec.encode(servers);
  }

  static VoterSet voterSet(Object... addressesAndEpochs) {
    VoterSet voterSet = new VoterSet();
    for (int i = 0; i < addressesAndEpochs.length; i += 2) {
      Voter voter = new Voter();
      voter.address = (String) addressesAndEpochs[i];
      voter.epoch = (Integer) addressesAndEpochs[i + 1];
      voterSet.voters.add(voter);
    }
    return voterSet;
  }

  static ClusterView view(
      VoterSet controlPlaneVoters, VoterSet jobStoreVoters, String... gateways) {
    ClusterView view = new ClusterView();
    view.controlPlaneVoters = controlPlaneVoters;
    view.jobStoreVoters = jobStoreVoters;
    view.gateways.addAll(List.of(gateways));
    return view;
  }

  static List<String> addressesWithEpochs(VoterSet voterSet) {
    List<String> all = new ArrayList<>();
    for (Voter slot : voterSet.voters) {
      all.add(slot.address + "#" + slot.epoch);
    }
    return all;
  }
}
