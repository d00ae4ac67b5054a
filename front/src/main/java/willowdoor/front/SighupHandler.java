package willowdoor.front;

import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Hears SIGHUP, which would end the process otherwise. The only interface to signals is one that
 * the compiler warns of wherever it is named, so it is looked up by name.
 */
final class SighupHandler {

  private static final Logger LOG = Logger.getLogger(SighupHandler.class.getName());

  private SighupHandler() {}

  /**
   * Reads the file anew at each SIGHUP from now on; one that cannot be read is logged and changes
   * nothing. Each signal comes on a thread of its own: they read one at a time, so the last passed
   * on is the newest.
   *
   * @param next is given each configuration in the order of their reading, and is not to wait
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
                  "the configuration cannot be read again, and stays as it was: " + e.getMessage(),
                  e);
            }
          }
        });
  }

  /** Runs the action, on a thread of the runtime's, at each SIGHUP from now on. */
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
      throw new IllegalStateException("this Java runtime does not tell of SIGHUP", e);
    }
  }
}
