package elmsail.controlplane;

import elmsail.config.watch.ConfigWatcher;
import elmsail.config.watch.WatchServer;
import elmsail.consensus.Register;
import elmsail.runtime.Counters;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.Timers;
import elmsail.runtime.http.HttpHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the routing configuration, which the register stores under {@link
 * ConfigChangeHandler#KEY}: reads the configuration from a majority at an interval, publishes it to
 * the processes that watch this node, and creates the handlers of the operators' calls. Runs on the
 * event loop.
 *
 * <p>These reads are the most frequent register reads of this node, so their {@link
 * #quorumContact()} determines whether the node may respond to requests.
 */
final class ConfigurationManager {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationManager.class);

  private static final long READ_INTERVAL_MS = 300;

  private final Register register;
  private final Timers timers;
  private final CommittedValue committedConfig;
  private final PeerNotifier peerNotifier;
  private final WatchServer watchServer;
  private final ConfigWatcher configWatcher;
  private final ControlPlaneCounters counters;
  private long committedVersion;

  /**
   * Creates a manager that reads nothing before {@link #refresh()}.
   *
   * @param register of the control-plane voters
   * @param peerNotifier sends notifications to the other control-plane voters
   * @param watchServer serves this node's state to the processes that watch it
   * @param configWatcher watches the other control-plane nodes
   */
  ConfigurationManager(
      Register register,
      Timers timers,
      PeerNotifier peerNotifier,
      WatchServer watchServer,
      ConfigWatcher configWatcher,
      ControlPlaneCounters counters) {
    this.register = register;
    this.timers = timers;
    this.peerNotifier = peerNotifier;
    this.watchServer = watchServer;
    this.configWatcher = configWatcher;
    this.counters = counters;
    committedConfig =
        new CommittedValue(register, ConfigChangeHandler.KEY, timers, READ_INTERVAL_MS);
  }

  /**
   * Starts to publish committed configurations, and to read the register at once on a peer's
   * notification.
   */
  void registerNotifications() {
    committedConfig.addListener(this::onCommitted);
    peerNotifier.onNotification(PeerMessageKind.CONFIG_COMMITTED, committedConfig::refresh);
  }

  /** The version that was last read or committed here, and the one that this node publishes. */
  void registerGauges(Counters gauges) {
    gauges.registerGauge("config_committed_version", () -> committedVersion);
    gauges.registerGauge("config_published_version", watchServer::configVersion);
  }

  /** Reads the configuration now and then repeatedly at an interval. */
  void refresh() {
    committedConfig.refresh();
  }

  void close() {
    committedConfig.close();
  }

  /** This node's contact with a majority of the control-plane voters. */
  QuorumContact quorumContact() {
    return committedConfig.quorumContact();
  }

  /** The newest committed register value that this node has seen; null before the first. */
  byte[] committedValue() {
    return committedConfig.value();
  }

  /** The handler of operators' calls that replace the configuration. */
  HttpHandler replaceHandler() {
    return changeHandler(ConfigChangeHandler.ChangeKind.REPLACE, ConfigChange::replacement);
  }

  /** The handler of operators' calls that amend the configuration. */
  HttpHandler amendHandler() {
    return changeHandler(ConfigChangeHandler.ChangeKind.AMEND, ConfigChange::amendment);
  }

  /** The handler of operators' calls that read the configuration. */
  HttpHandler readHandler() {
    return new ReadConfigHandler(register, committedConfig);
  }

  private HttpHandler changeHandler(
      ConfigChangeHandler.ChangeKind changeKind, ConfigChange.Reader changeReader) {
    return new ConfigChangeHandler(
        register,
        changeKind,
        changeReader,
        timers,
        committedConfig,
        version -> peerNotifier.notifyPeers(PeerMessageKind.CONFIG_COMMITTED),
        counters);
  }

  /** Publishes a configuration that another control-plane node published, if it is newer. */
  void relayFromPeers() {
    if (configWatcher.configBytes() != null) {
      watchServer.setConfig(configWatcher.config().version(), configWatcher.configBytes());
    }
  }

  private void onCommitted(byte[] value) {
    ConfigHistory history = ConfigHistory.decode(value);
    committedVersion = history.version();
    watchServer.setConfig(history.version(), history.configBytes());
    try {
      configWatcher.offerConfig(history.configBytes());
    } catch (ElmsailException e) {
      LOG.error(
          "configuration {} is committed but this node cannot parse it: {}",
          history.version(),
          e.getMessage());
    }
  }
}
