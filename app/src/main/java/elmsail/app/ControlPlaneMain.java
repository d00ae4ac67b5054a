package elmsail.app;

import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.Settings;

/**
 * The main class of the control plane: a process that serves {@code head_office}, or stores batch
 * jobs as a {@code vault}.
 */
public final class ControlPlaneMain implements Application {

  private ControlPlaneMain() {}

  /** Runs until SIGTERM; {@code --settings FILE} names the settings. */
  public static void main(String[] args) {
    ApplicationLauncher.main(new ControlPlaneMain(), args);
  }

  @Override
  public String name() {
    return "controlplane";
  }

  @Override
  public Instance start(Settings settings, NettyEventLoop loop) {
    return new ControlPlaneProcess(settings, loop);
  }
}
