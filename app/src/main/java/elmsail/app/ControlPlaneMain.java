package elmsail.app;

import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.Settings;

/** The control plane's program: serves {@code head_office}, or keeps jobs at a {@code vault}. */
public final class ControlPlaneMain implements Application {

  private ControlPlaneMain() {}

  /** Runs the program until it is signalled to end; {@code --settings FILE} names its settings. */
  public static void main(String[] args) {
    ApplicationLauncher.main(new ControlPlaneMain(), args);
  }

  @Override
  public String name() {
    return "controlplane";
  }

  /** Listens, and joins the others. */
  @Override
  public Instance start(Settings settings, NettyEventLoop loop) {
    return new ControlPlaneProcess(settings, loop);
  }
}
