package elmsail.app;

import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.Settings;

/** The main class of the data plane: a process that serves {@code counter}. */
public final class GatewayMain implements Application {

  private GatewayMain() {}

  /** Runs until SIGTERM; {@code --settings FILE} names the settings. */
  public static void main(String[] args) {
    ApplicationLauncher.main(new GatewayMain(), args);
  }

  @Override
  public String name() {
    return "gateway";
  }

  @Override
  public Instance start(Settings settings, NettyEventLoop loop) {
    return new GatewayProcess(settings, loop);
  }
}
