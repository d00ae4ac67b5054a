package elmsail.app;

import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.Settings;

/** The data plane's program: serves {@code counter}. */
public final class GatewayMain implements Application {

  private GatewayMain() {}

  /** Runs the program until it is signalled to end; {@code --settings FILE} names its settings. */
  public static void main(String[] args) {
    ApplicationLauncher.main(new GatewayMain(), args);
  }

  @Override
  public String name() {
    return "gateway";
  }

  /** Listens, and joins the others. */
  @Override
  public Instance start(Settings settings, NettyEventLoop loop) {
    return new GatewayProcess(settings, loop);
  }
}
