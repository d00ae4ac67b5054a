package willowdoor.front;

import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Handles SIGHUP, which would otherwise terminate the process. The compiler warns wherever the
 * JDK's only signal API is named, so the API is accessed by reflection.
 */
final class SighupHandler {

  private static final Logger LOG = Logger.getLogger(SighupHandler.class.getName());

  private SighupHandler() {}

  /**
   * Rereads the file at each SIGHUP from now on. A file that cannot be read is logged and changes
   * nothing. Each signal is handled on a thread of its own. The threads read one at a time, so the
   * configuration passed on last is the newest.
   *
   * @param next receives the configurations in the order in which they were read; must not block
   */
  static void reload(Path file, Consumer<Config> next) {
    Object reading = new Object();
    handle(
        () -> {
          synchronized (reading) {
            try {
              next.accept(Config.read(file));
            } catch (IOException | RuntimeException e) {
              LOG.log(
                  Level.SEVERE,
                  "cannot reread the configuration after SIGHUP; the current one stays in force: "
                      + e.getMessage(),
                  e);
            }
          }
        });
  }

  /** Runs the action on a thread of the Java runtime at each SIGHUP from now on. */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Method handled = handler.getMethod("handle", signal);
      Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
      Object run =
          Proxy.newProxyInstance(
              SighupHandler.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, args) -> {
                if (method.equals(handled)) {
                  action.run();
                  return null;
                }
                return method.invoke(action, args);
              });
      signal.getMethod("handle", signal, handler).invoke(null, hangUp, run);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this Java runtime does not support SIGHUP handlers", e);
    }
  }
}
